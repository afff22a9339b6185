package org.guavahatch.cli.report

import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.XYChart
import org.knowm.xchart.XYChartBuilder
import org.knowm.xchart.style.markers.SeriesMarkers
import java.awt.Color
import java.util.Base64
import java.util.Locale

/** Renders a burn report as a self-contained HTML page with embedded plots. */
internal object HtmlReport {
    private const val WIDTH = 900
    private const val HEIGHT = 320

    /** Smallest upper end of the burn axis. */
    private const val MINIMUM_AXIS_TOP = 2.0

    /** Returns the HTML page for [report]. */
    fun write(report: BurnReport): String = buildString {
        append("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title>")
        append("<style>body{font-family:sans-serif;margin:2em;max-width:960px}table{border-collapse:collapse}")
        append("td,th{padding:.3em .8em;text-align:right;border-bottom:1px solid #ccc}td:first-child,th:first-child")
        append("{text-align:left}.over{color:#b00020;font-weight:bold}</style></head><body>")
        append("<h1>Service-level burn</h1><p>Burn 1 spends the error budget exactly; above 1 it is overspent.</p>")
        appendSection("By tier", report.tiers)
        appendSection("By kind of request", report.kinds)
        append("</body></html>\n")
    }

    private fun StringBuilder.appendSection(title: String, groups: List<GroupBurn>) {
        append("<h2>$title</h2>")
        appendTable(groups)
        append("<p><img alt=\"Burn by second\" src=\"data:image/png;base64,${renderPlot(title, groups)}\"></p>")
    }

    private fun StringBuilder.appendTable(groups: List<GroupBurn>) {
        val windows = groups.firstOrNull()?.windows.orEmpty().map { it.windowSeconds }
        append("<table><tr><th>Group</th><th>Objective</th><th>Sent</th><th>In time</th>")
        windows.forEach { append("<th>Worst $it s</th>") }
        append("</tr>")
        groups.forEach { group ->
            append("<tr><td>${escape(group.name)}</td><td>${formatNumber(group.objectivePercent)} %</td>")
            append("<td>${group.sent}</td><td>${group.good}</td>")
            group.windows.forEach { window ->
                val style = if (window.worst > 1) " class=\"over\"" else ""
                append("<td$style>${formatNumber(window.worst)}</td>")
            }
            append("</tr>")
        }
        append("</table>")
    }

    private fun renderPlot(title: String, groups: List<GroupBurn>): String {
        val chart: XYChart = XYChartBuilder().width(WIDTH).height(HEIGHT).title("$title: burn by second")
            .xAxisTitle("seconds since the start").yAxisTitle("burn").build()
        chart.styler.setChartBackgroundColor(Color.WHITE)
        chart.styler.setYAxisMin(0.0)
        chart.styler.setYAxisMax(maxOf(MINIMUM_AXIS_TOP, groups.maxOfOrNull { highestBurn(it) } ?: 0.0))
        groups.forEach { group ->
            val points = group.bySecond.withIndex().filter { it.value != null }
            val seconds = points.map { it.index.toDouble() }
            val burns = points.map { it.value ?: 0.0 }
            if (points.isNotEmpty()) chart.addSeries(group.name, seconds, burns).setMarker(SeriesMarkers.NONE)
        }
        return Base64.getEncoder().encodeToString(BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG))
    }

    private fun highestBurn(group: GroupBurn) = group.bySecond.filterNotNull().maxOrNull() ?: 0.0

    private fun formatNumber(value: Double) = "%.2f".format(Locale.ROOT, value)

    private fun escape(text: String) = text.replace("&", "&amp;").replace("<", "&lt;")
}
