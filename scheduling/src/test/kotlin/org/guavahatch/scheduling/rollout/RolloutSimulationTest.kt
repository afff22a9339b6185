package org.guavahatch.scheduling.rollout

import java.util.stream.IntStream
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Rollouts of good and bad versions. With -Drollout.seeds=1000 it plays 1,000 seeds of each case and prints figures;
 * -Drollout.case=TEXT selects the cases whose name matches the pattern TEXT.
 */
class RolloutSimulationTest {
    private val seeds = System.getProperty("rollout.seeds", "2").toInt()
    private val selected = System.getProperty("rollout.case", ".")

    private val impaired: (AnswerConditions) -> Boolean = { it.now in 4_000..7_000 }

    private val cases = listOf(
        RolloutCase("good", isBad = false),
        RolloutCase("good, equal engines", isBad = false, speeds = listOf(1.0)),
        RolloutCase("good, little traffic: slow engines hardly used", isBad = false, requestsPerSecond = 80),
        RolloutCase("good, old version fails now and then", isBad = false, failureShare = {
            if (it.isTarget) 0.0 else 0.05
        }),
        RolloutCase("good, both fail now and then", isBad = false, failureShare = { 0.05 }),
        RolloutCase(
            "good, each endpoint fails for half a second now and then",
            isBad = false,
            failureShare = { if ((it.now + it.endpoint * 3_700) % 10_000 < 500) 0.8 else 0.0 },
        ),
        RolloutCase("good, failures of both sides", isBad = false, failureShare = { if (impaired(it)) 0.4 else 0.0 }),
        RolloutCase("good, both sides slow", isBad = false, slowness = { if (impaired(it)) 4.0 else 1.0 }),
        RolloutCase("good, no traffic on a route", isBad = false, routeWeights = listOf(5, 0, 5)),
        RolloutCase("good, gateways killed and cut off", isBad = false, restarted = 5, cutOff = 5),
        RolloutCase("bad at once", isBad = true, failureShare = { if (it.isTarget) 0.3 else 0.0 }),
        RolloutCase("bad from half", isBad = true, failureShare = { if (it.isTarget && it.now > 6_000) 0.3 else 0.0 }),
        RolloutCase("bad under load", isBad = true, failureShare = { if (it.isTarget && it.running > 5) 0.3 else 0.0 }),
        RolloutCase("bad on one route", isBad = true, failureShare = {
            if (it.isTarget &&
                it.route == 2
            ) {
                0.3
            } else {
                0.0
            }
        }),
        RolloutCase("bad, both fail now and then", isBad = true, failureShare = { if (it.isTarget) 0.3 else 0.05 }),
        RolloutCase("bad, little traffic", isBad = true, failureShare = {
            if (it.isTarget) 0.3 else 0.0
        }, requestsPerSecond = 80),
        RolloutCase("bad, 15 in 100", isBad = true, failureShare = { if (it.isTarget) 0.15 else 0.0 }),
        RolloutCase(
            "bad from half, gateways killed and cut off",
            isBad = true,
            failureShare = { if (it.isTarget && it.now > 6_000) 0.3 else 0.0 },
            restarted = 5,
            cutOff = 5,
        ),
        RolloutCase("slow by 3", isBad = true, slowness = { if (it.isTarget) 3.0 else 1.0 }),
        RolloutCase("slow by 3, equal engines", isBad = true, slowness = {
            if (it.isTarget) 3.0 else 1.0
        }, speeds = listOf(1.0)),
        RolloutCase("slow by 3, little traffic", isBad = true, slowness = {
            if (it.isTarget) 3.0 else 1.0
        }, requestsPerSecond = 80),
        RolloutCase("good, 300 gateways", isBad = false, gateways = 300, requestsPerSecond = 600),
        RolloutCase(
            "bad at once, 300 gateways",
            isBad = true,
            gateways = 300,
            requestsPerSecond = 600,
            failureShare = { if (it.isTarget) 0.3 else 0.0 },
        ),
        RolloutCase(
            "slow by 3, 300 gateways",
            isBad = true,
            gateways = 300,
            requestsPerSecond = 600,
            slowness = { if (it.isTarget) 3.0 else 1.0 },
        ),
    )

    @Test
    fun `good versions are completed and bad ones rolled back in time, with a bounded exposure`() {
        val failures = cases.filter { Regex(selected) in it.name }.flatMap { case ->
            val begin = System.nanoTime()
            val results = IntStream.range(0, seeds).parallel().mapToObj { SimulatedRollout(case, it).run() }.toList()
            val wrong = results.count { it.phase != expectedPhase(case) }
            val excess = results.maxOf { it.targetSends - 0.1 * it.sends }
            val latest = results.maxOf { result -> result.fiftiethBadAt?.let { result.lastTargetSendAt - it } ?: 0 }
            if (seeds > 3) {
                val ends = results.map { it.endedAt }.sorted()
                println(
                    "${case.name}: wrong $wrong/$seeds, ended median ${ends[seeds / 2]} max ${ends.last()} ms, " +
                        "exposure beyond share ${excess.toInt()}, after 50th bad $latest ms, " +
                        "target sends ${results.map { it.targetSends }.average().toInt()}, " +
                        "reasons ${results.groupingBy { "${it.phase} ${it.reason}" }.eachCount()}, " +
                        "${(System.nanoTime() - begin) / 1_000_000 / seeds} ms a seed",
                )
            }
            listOfNotNull(
                "${case.name}: $wrong wrong verdicts".takeIf { wrong > 0 },
                "${case.name}: exposure exceeds the share by $excess".takeIf { case.isBad && excess > 50 },
                "${case.name}: a send $latest ms after the 50th bad answer".takeIf { case.isBad && latest > 5_000 },
            )
        }
        assertTrue(failures.isEmpty(), failures.joinToString("\n"))
    }

    private fun expectedPhase(case: RolloutCase) = if (case.isBad) RolloutPhase.ROLLED_BACK else RolloutPhase.COMPLETED
}
