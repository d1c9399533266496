"""Results of a bench: a value, its unit and its bound. Printed one per line and written as JSON."""
import json
import operator
import pathlib

OPERATORS = {"<=": operator.le, "<": operator.lt, ">=": operator.ge, "==": operator.eq}
RESULTS_FOLDER = pathlib.Path(__file__).resolve().parent.parent / "docs/bench"


class BenchResults:
    def __init__(self):
        self.rows = []

    def add(self, name, value, unit, operation=None, bound=None):
        """Adds a result. A result without a bound is only reported."""
        holds = True if operation is None else bool(OPERATORS[operation](value, bound))
        self.rows.append({"name": name, "value": value, "unit": unit, "operation": operation, "bound": bound,
                          "holds": holds})

    def all_within_bounds(self):
        return all(row["holds"] for row in self.rows)

    def write_json(self, name):
        RESULTS_FOLDER.mkdir(parents=True, exist_ok=True)
        (RESULTS_FOLDER / f"{name}.json").write_text(json.dumps(self.rows, indent=1) + "\n")

    def print(self):
        for row in self.rows:
            bound = f"bound {row['operation']} {row['bound']:g}" if row["operation"] else "bound - -"
            print(f"figure {row['name']} {row['value']:.6g} {row['unit']} {bound} {'ok' if row['holds'] else 'over'}")


def write_bar_chart(name, title, groups, series, unit):
    """Writes a grouped bar chart as SVG. `series` maps a name to one value for each of `groups`."""
    colours = ["#4477aa", "#ee6677", "#228833", "#ccbb44", "#66ccee", "#aa3377", "#bbbbbb"]
    width, height, left, bottom, top = 1000, 420, 70, 90, 50
    highest = max(value for values in series.values() for value in values) * 1.1 or 1
    group_width = (width - left - 20) / len(groups)
    bar_width = group_width * 0.8 / len(series)
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" font-family="sans-serif" '
             f'font-size="12"><rect width="100%" height="100%" fill="white"/>'
             f'<text x="{left}" y="20" font-size="15">{title}</text>']
    plot_height = height - bottom - top
    for step in range(6):
        value = highest * step / 5
        y = height - bottom - plot_height * step / 5
        parts.append(f'<line x1="{left}" x2="{width - 20}" y1="{y:.1f}" y2="{y:.1f}" stroke="#ddd"/>'
                     f'<text x="{left - 6}" y="{y + 4:.1f}" text-anchor="end">{value:.0f} {unit}</text>')
    for number, (label, values) in enumerate(series.items()):
        colour = colours[number % len(colours)]
        parts.append(f'<rect x="{left + 180 * number}" y="30" width="12" height="12" fill="{colour}"/>'
                     f'<text x="{left + 16 + 180 * number}" y="41">{label}</text>')
        for group, value in enumerate(values):
            x = left + group_width * group + group_width * 0.1 + bar_width * number
            bar_height = plot_height * min(value, highest) / highest
            parts.append(f'<rect x="{x:.1f}" y="{height - bottom - bar_height:.1f}" width="{bar_width:.1f}" '
                         f'height="{bar_height:.1f}" fill="{colour}"/>')
    for group, label in enumerate(groups):
        x = left + group_width * (group + 0.5)
        parts.append(f'<text x="{x:.1f}" y="{height - bottom + 16}" text-anchor="end" '
                     f'transform="rotate(-25 {x:.1f} {height - bottom + 16})">{label}</text>')
    RESULTS_FOLDER.mkdir(parents=True, exist_ok=True)
    (RESULTS_FOLDER / f"{name}.svg").write_text("".join(parts) + "</svg>\n")
