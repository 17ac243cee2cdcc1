package gentiandale.cli.log

import kotlinx.html.FlowContent
import kotlinx.html.body
import kotlinx.html.h1
import kotlinx.html.h2
import kotlinx.html.head
import kotlinx.html.html
import kotlinx.html.meta
import kotlinx.html.p
import kotlinx.html.span
import kotlinx.html.stream.createHTML
import kotlinx.html.style
import kotlinx.html.svg
import kotlinx.html.table
import kotlinx.html.td
import kotlinx.html.th
import kotlinx.html.title
import kotlinx.html.tr
import kotlinx.html.unsafe
import java.time.Instant
import java.util.Locale

/** HTML page without scripts that shows a [LogTimeline]: its plots over a common time axis, then its changes. */
internal class TimelinePage(private val timeline: LogTimeline) {
    /** Renders the page as HTML. */
    fun render(): String = "<!DOCTYPE html>\n" + createHTML().html {
        head {
            meta(charset = "utf-8")
            title("gentiandale timeline")
            style { unsafe { raw(STYLE) } }
        }
        body {
            h1 { +"From ${Instant.ofEpochMilli(timeline.startMs)}, ${timeline.seconds} s" }
            timeline.plots.forEach { plot(it) }
            h2 { +"Changes" }
            changes(timeline.changes)
        }
    }

    private fun FlowContent.plot(plot: Plot) {
        val maxValue = plot.series.flatMap { it.values }.maxOfOrNull { it ?: 0.0 }?.coerceAtLeast(1.0) ?: 1.0
        h2 { +"${plot.title} (${plot.unit}, up to ${number(maxValue)})" }
        p { plot.series.forEachIndexed { index, series -> legend(series.name, color(index)) } }
        svg {
            attributes["viewBox"] = "0 0 $WIDTH $HEIGHT"
            unsafe {
                plot.series.forEachIndexed { index, series ->
                    segments(series).forEach { raw(polyline(it, maxValue, color(index))) }
                }
            }
        }
    }

    private fun FlowContent.legend(name: String, color: String) = span {
        attributes["style"] = "color:$color"
        +"$name "
    }

    private fun color(index: Int) = COLORS[index % COLORS.size]

    /** Splits [series] at its gaps into runs of consecutive seconds, each value paired with its second. */
    private fun segments(series: PlotSeries): List<List<Pair<Int, Double>>> {
        val segments = ArrayList<ArrayList<Pair<Int, Double>>>()
        series.values.forEachIndexed { second, value ->
            if (value == null) return@forEachIndexed
            val isContiguous = segments.lastOrNull()?.last()?.first == second - 1
            if (isContiguous) segments.last() += second to value else segments += arrayListOf(second to value)
        }
        return segments
    }

    private fun polyline(segment: List<Pair<Int, Double>>, maxValue: Double, color: String): String {
        val points = segment.joinToString(" ") { (second, value) ->
            val x = WIDTH * (second + MID_SECOND) / timeline.seconds
            val y = HEIGHT - (HEIGHT - MARGIN) * value / maxValue
            "${number(x)},${number(y)}"
        }
        return """<polyline fill="none" stroke="$color" stroke-width="2" stroke-linecap="square" points="$points"/>"""
    }

    private fun FlowContent.changes(changes: List<TimelineChange>) = table {
        tr { listOf("Second", "VM", "Event", "Detail").forEach { th { +it } } }
        changes.forEach { change ->
            tr { listOf(change.second.toString(), change.vm, change.event, change.detail).forEach { td { +it } } }
        }
    }

    private fun number(value: Double): String = "%.1f".format(Locale.ROOT, value).removeSuffix(".0")

    private companion object {
        /** Size of the drawing in SVG user units; the browser scales it to the page. */
        const val WIDTH = 1_000.0
        const val HEIGHT = 160.0

        /** Space above the highest value, in SVG user units. */
        const val MARGIN = 6.0

        /** Offset in seconds that draws a value in the middle of its second. */
        const val MID_SECOND = 0.5
        val COLORS = listOf("#555555", "#1b7837", "#d95f02", "#c51b7d", "#2166ac")
        const val STYLE = "body{font-family:sans-serif;margin:1em}svg{width:100%;background:#f7f7f7}" +
            "table{border-collapse:collapse;font-size:small}" +
            "td,th{border:1px solid #ccc;padding:2px 6px;text-align:left}"
    }
}
