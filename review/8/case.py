"""All hosts stopped in turn, and then the loss of all of them."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import kit_2 as kit  # noqa: E402

ZONES = ('zone-a', 'zone-b')
HOSTS = 4
TENANTS = 10
RATE = 8
BURST = 6
#: The pause of a caller; with it a tenant sends under a request a second to
#: each host, less than half of its quota in all.
PAUSE_S = 0.9
#: As in the site file's ``{ kind = "roll_term", share = 1.0, gap_s = 2.0 }``.
STOP_GAP_S = 2.0
#: From the last stopped host's return to the loss of power.
BEFORE_LOSS_S = 1.0
DOWN_S = 1.1
CALM_S = 35
RECOVERY_S = 15
#: How long the requests after the recovery are looked at: about as long as in
#: the bench's days.
WATCHED_S = 6
BOUNDS = {
    'contact_ms': 5000,
    'ack_ms': 8000,
    'catch_up_s': 6,
    'drain_ms': 5000,
    'config_apply_ms': 5000,
    'max_skew_ms': 15000,
    'strict_revoke': True,
    'revoke_ms': 5000,
    'budget_slack': 194,
    'quota_window_s': 5,
    'quota_overshoot': 0.1,
    'quota_slack': 20,
    'recovery_s': RECOVERY_S,
}


async def call(host, tenant, record, sent):
    """An ordinary caller of one tenant at one host."""
    while True:
        attempt = kit.make_attempt_id()
        began = time.monotonic()
        request = kit.format_request(
            'GET',
            '/plate/2f',
            attempt,
            deadline=5000,
            extra=(f'Authorization: Token key-{tenant}',),
        )
        try:
            answer = await asyncio.wait_for(
                kit.send_once(host.front, request), 6
            )
            outcome = answer.status
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as lost:
            outcome = type(lost).__name__
        sent.append((began, outcome))
        record.add(f'{host.name} {tenant} {attempt}: {outcome}')
        await asyncio.sleep(PAUSE_S)


async def stop_and_start(host, delay, record):
    """What the platform does to a host in a rolling stop."""
    await asyncio.sleep(delay)
    record.add(f'SIGTERM to {host.name}')
    host.signal(signal.SIGTERM)
    await host.process.wait()
    await asyncio.sleep(0.3)
    await host.start()
    record.add(f'{host.name} is started again')


def count_outcomes(sent, since, until):
    counts = {}
    for began, outcome in sent:
        if since <= began < until:
            counts[outcome] = counts.get(outcome, 0) + 1
    return counts


async def main(record, folder):
    store = kit.Store()
    await store.start()
    for number in range(4):
        replica = kit.Replica(
            f'i-{number}', 'vault', record, zone=ZONES[number % 2]
        )
        await replica.start(store)
    names = [f'tenant-{n}' for n in range(TENANTS)]
    store.put(
        'op/config',
        kit.make_configuration(
            5,
            [kit.make_route('plate', '/plate/', service='vault')],
            ['vault'],
            tenants=[
                {
                    'name': name,
                    'api_keys': [f'key-{name}'],
                    'rate_per_s': RATE,
                    'burst': BURST,
                }
                for name in names
            ],
        ),
    )
    hosts = [
        kit.Host(f'front-{n}', ZONES[n % 2], store, folder, bounds=BOUNDS)
        for n in range(HOSTS)
    ]
    sent = []
    callers = []
    try:
        for host in hosts:
            await host.start()
        for host in hosts:
            await host.wait_ready()
            # Only true when the whole system starts for the first time.
            host.settings['bootstrap'] = False
        callers = [
            asyncio.create_task(call(host, name, record, sent))
            for host in hosts
            for name in names
        ]
        await asyncio.sleep(CALM_S)
        if kit.TROUBLE:
            await asyncio.gather(
                *(
                    stop_and_start(host, STOP_GAP_S * number, record)
                    for number, host in enumerate(hosts)
                )
            )
            await asyncio.sleep(BEFORE_LOSS_S)
        lost = time.monotonic()
        record.add('all hosts lose power')
        for host in hosts:
            host.signal(signal.SIGKILL)
        for host in hosts:
            await host.process.wait()
        await asyncio.sleep(DOWN_S)
        for host in hosts:
            await host.start()
        back = time.monotonic()
        record.add('all hosts are back')
        await asyncio.sleep(RECOVERY_S + WATCHED_S + 6)
    finally:
        for caller in callers:
            caller.cancel()
        for host in hosts:
            await host.end()
    before = count_outcomes(sent, lost - CALM_S + 5, lost)
    after = count_outcomes(
        sent, back + RECOVERY_S, back + RECOVERY_S + WATCHED_S
    )
    share_before = before.get(200, 0) / max(1, sum(before.values()))
    share_after = after.get(200, 0) / max(1, sum(after.values()))
    served_again = [
        began - back
        for began, outcome in sent
        if began > back and outcome == 200
    ]
    summary = (
        f'before the loss {before}; sent {RECOVERY_S} to '
        f'{RECOVERY_S + WATCHED_S} s after the hosts are back {after}; first '
        f'request served again {min(served_again, default=-1):.1f} s after'
    )
    if share_before < 0.25:
        raise kit.Unable(summary)
    return share_after < 0.25, summary


kit.run_case(main, limit_s=118)
