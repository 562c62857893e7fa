"""The command ``almonddock report``: tables and plots of measurements."""

import importlib
import pathlib
from collections.abc import Mapping
from typing import Annotated, Any

import orjson
import typer
from rich.table import Table

from almonddock_cli._exits import Exit
from almonddock_cli._output import CONSOLE, JsonFlag, fail, print_json

SERIES_SUFFIX = '.series.jsonl'

Figure = Mapping[str, Any]

Folder = Annotated[
    pathlib.Path,
    typer.Argument(help='Folder with the results of "make bench".'),
]
PlotFolder = Annotated[
    pathlib.Path | None,
    typer.Option('--plots', help='Folder for the plots; RESULTS/plots.'),
]


def show_report(
    results: Folder,
    plots: PlotFolder = None,
    as_json: JsonFlag = False,
) -> None:
    """Show kept measurements and draw their curves.

    Ends with 1 when a bound does not hold.
    """
    if not results.is_dir():
        fail(f'{results} is not a folder', Exit.INVALID)
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


def read_figures(folder: pathlib.Path) -> list[Figure]:
    """Returns every kept figure, by experiment."""
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
    """Draws one PNG for each kept series and returns the paths."""
    drawn = []
    for path in sorted(folder.glob(f'*{SERIES_SUFFIX}')):
        name = path.name.removesuffix(SERIES_SUFFIX)
        for number, series in enumerate(_read_lines(path)):
            plots.mkdir(parents=True, exist_ok=True)
            plot = plots / f'{name}-{number}.png'
            _draw(series, plot)
            drawn.append(plot)
    return drawn


def _draw(series: Figure, path: pathlib.Path) -> None:
    # Loading the plot library takes longer than any other command runs.
    sheet = importlib.import_module('matplotlib.figure').Figure()
    axes = sheet.subplots()
    for name, points in series['curves'].items():
        columns = list(zip(*points, strict=True))
        axes.plot(*columns, label=name)
    axes.set_title(series['title'])
    axes.set_xlabel(series['x_label'])
    axes.set_ylabel(series['y_label'])
    axes.legend()
    sheet.savefig(path)


def _read_lines(path: pathlib.Path) -> list[Figure]:
    return [orjson.loads(line) for line in path.read_bytes().splitlines()]


def _build_table(figures: list[Figure]) -> Table:
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
            _format(figure['value']),
            figure['unit'],
            _format(figure['ratio']),
            _format(figure['bound']),
            'yes' if figure['holds'] else '[red]no[/red]',
            figure['commit'],
        )
    return table


def _format(number: float | None) -> str:
    return '' if number is None else f'{number:.4g}'
