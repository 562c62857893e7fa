"""The command ``almonddock report``: tables and plots of measurements."""

import importlib
import pathlib
from collections.abc import Mapping
from typing import Annotated, Any

import orjson
import typer
from rich.table import Table

from almonddock_cli._exits import ExitCode
from almonddock_cli._output import CONSOLE, JsonFlag, fail, print_json

SERIES_SUFFIX = '.series.jsonl'

Record = Mapping[str, Any]

Folder = Annotated[
    pathlib.Path,
    typer.Argument(help='Folder with the results of "make bench".'),
]
PlotFolder = Annotated[
    pathlib.Path | None,
    typer.Option(
        '--plots', help='Folder for the plots; by default RESULTS/plots.'
    ),
]


def show_report(
    results: Folder,
    plots: PlotFolder = None,
    as_json: JsonFlag = False,
) -> None:
    """Show recorded measurements and plot their series.

    Exit code 1 means that a bound does not hold.
    """
    if not results.is_dir():
        fail(f'{results} is not a folder', ExitCode.INVALID)
    figures = read_figures(results)
    drawn = draw_plots(results, plots or results / 'plots')
    if as_json:
        print_json({'figures': figures, 'plots': drawn})
    else:
        CONSOLE.print(_build_table(figures))
        for path in drawn:
            CONSOLE.print(str(path))
    if not all(figure['holds'] for figure in figures):
        raise typer.Exit(1)


def read_figures(folder: pathlib.Path) -> list[Record]:
    """Returns every recorded measurement, in the order of the file names."""
    return [
        figure
        for path in sorted(folder.glob('*.jsonl'))
        if not path.name.endswith(SERIES_SUFFIX)
        for figure in _read_lines(path)
    ]


def draw_plots(
    folder: pathlib.Path,
    plots: pathlib.Path,
) -> list[pathlib.Path]:
    """Writes a PNG plot of each recorded series and returns the paths."""
    drawn = []
    for path in sorted(folder.glob(f'*{SERIES_SUFFIX}')):
        name = path.name.removesuffix(SERIES_SUFFIX)
        for number, series in enumerate(_read_lines(path)):
            plots.mkdir(parents=True, exist_ok=True)
            plot = plots / f'{name}-{number}.png'
            _draw(series, plot)
            drawn.append(plot)
    return drawn


def _draw(series: Record, path: pathlib.Path) -> None:
    # Imported only here: importing matplotlib takes longer than any other
    # command runs.
    chart = importlib.import_module('matplotlib.figure').Figure()
    axes = chart.subplots()
    for name, points in series['curves'].items():
        columns = list(zip(*points, strict=True))
        axes.plot(*columns, label=name)
    axes.set_title(series['title'])
    axes.set_xlabel(series['x_label'])
    axes.set_ylabel(series['y_label'])
    axes.legend()
    chart.savefig(path)


def _read_lines(path: pathlib.Path) -> list[Record]:
    return [orjson.loads(line) for line in path.read_bytes().splitlines()]


def _build_table(figures: list[Record]) -> Table:
    table = Table(
        'experiment',
        'deployment',
        'value',
        'unit',
        'ratio',
        'bound',
        'holds',
        'commit',
    )
    for figure in figures:
        table.add_row(
            figure['experiment'],
            figure['deployment'],
            _format_number(figure['value']),
            figure['unit'],
            _format_number(figure['ratio']),
            _format_number(figure['bound']),
            'yes' if figure['holds'] else '[red]no[/red]',
            figure['commit'],
        )
    return table


def _format_number(number: float | None) -> str:
    return '' if number is None else f'{number:.4g}'
