package org.guavahatch.cli.load

import java.util.Locale

/** Prints results as a table. */
internal object ResultPrinter {
    private const val SHOWN_WRONG = 10
    private const val PERCENT = 100.0

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
        result.tiers.forEach { print("tier ${it.name}", it) }
        result.kinds.forEach { print(it.name, it) }
        print("all", result.total)
        result.reasons.toSortedMap().forEach { (reason, count) -> println("  $count x $reason") }
        result.wrong.take(SHOWN_WRONG).forEach { println("  wrong: ${it.kind} ${it.name}: ${it.detail}") }
        val total = result.total
        println(
            "load: ${total.sent} sent, ${total.answered} answered, ${total.notRun} not run, " +
                "${total.unknown} unknown, ${total.refused} refused, ${result.wrong.size} wrong",
        )
    }

    private fun print(label: String, group: GroupResult) {
        val share = if (group.sent == 0) 0.0 else PERCENT * group.good / group.sent
        println(
            "%-24s %6d %8d %6.1f%% %7d %7d %7d  %.1f/%.1f, %.1f, %.1f".format(
                Locale.ROOT, label, group.sent, group.answered, share, group.notRun, group.unknown, group.refused,
                group.duration.p50, group.duration.p99, group.firstToken.p95, group.tokenGap.p95,
            ),
        )
    }
}
