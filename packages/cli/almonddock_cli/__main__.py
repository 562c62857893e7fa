"""Runs the program with ``python -m almonddock_cli``."""

from almonddock_cli.program import run

if __name__ == '__main__':
    run()
