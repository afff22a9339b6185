package org.guavahatch.cli.load

import java.util.Locale

/** Prints results as a table, followed by the reasons, the first contradictions and a summary line. */
internal object ResultPrinter {
    private const val MAXIMUM_SHOWN_WRONG = 10
    private const val PERCENT = 100.0

    /** Prints [result] to the standard output. */
    fun print(result: LoadResult) {
        println()
        println(
            "%-24s %6s %8s %7s %7s %7s %7s  %s".format(
                "",
                "sent",
                "answered",
                "in time",
                "not run",
                "unknown",
                "refused",
                "duration p50/p99 ms, first token p95, gap p95",
            ),
        )
        result.tiers.forEach { printGroup("tier ${it.name}", it) }
        result.kinds.forEach { printGroup(it.name, it) }
        printGroup("all", result.total)
        result.reasons.toSortedMap().forEach { (reason, count) -> println("  $count x $reason") }
        result.wrong.take(MAXIMUM_SHOWN_WRONG).forEach { println("  wrong: ${it.kind} ${it.name}: ${it.detail}") }
        val total = result.total
        println(
            "load: ${total.sent} sent, ${total.answered} answered, ${total.notRun} not run, " +
                "${total.unknown} unknown, ${total.refused} refused, ${result.wrong.size} wrong",
        )
    }

    private fun printGroup(label: String, group: GroupResult) {
        val goodPercent = if (group.sent == 0) 0.0 else PERCENT * group.good / group.sent
        println(
            "%-24s %6d %8d %6.1f%% %7d %7d %7d  %.1f/%.1f, %.1f, %.1f".format(
                Locale.ROOT, label, group.sent, group.answered, goodPercent, group.notRun, group.unknown, group.refused,
                group.duration.p50, group.duration.p99, group.firstToken.p95, group.tokenGap.p95,
            ),
        )
    }
}
