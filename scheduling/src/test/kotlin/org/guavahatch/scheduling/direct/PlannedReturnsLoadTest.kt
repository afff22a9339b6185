package org.guavahatch.scheduling.direct

import kotlin.test.Test
import kotlin.test.assertTrue

/** Guards against rejected callers that return together, into the same peak, and against orders that get nothing. */
class PlannedReturnsLoadTest {
    /** Short peaks of requests of one length: 2.2 times the capacity for 1.5 s of each 5 s. */
    private val peaks = ReturningScenario(List(3) { ReturningKind(1.0 / 3, rank = it, service = 500) }) {
        if (it % 5_000 < 1_500) 2.2 else 0.5
    }

    /** A peak of 8 s, longer than most callers wait, of requests of unlike length; all gateways restart in it. */
    private val crest = ReturningScenario(
        listOf(
            ReturningKind(
                0.367,
                0,
                service = 650,
                firstEvent = 200,
                objective = 600,
                patience = 2_400,
                deadline = 6_000,
            ),
            ReturningKind(0.417, 1, service = 400, firstEvent = 150, deadline = 4_000),
            ReturningKind(0.216, 2, service = 1_900, firstEvent = 80, objective = 400, deadline = 15_000),
        ),
        slowness = List(ReturningScenario.ENGINES) { 0.6 + 1.2 * it / (ReturningScenario.ENGINES - 1) },
        duration = 40_000,
        restartAt = 4_000,
    ) { if (it in 2_000..<10_000) 2.0 + 0.5 * ((it / 1_000) % 2) else 0.6 }

    @Test
    fun `callers that are told when capacity is expected are rejected less often and served as often`() =
        mapOf("peaks" to peaks, "a crest" to crest).forEach { (load, scenario) ->
            for (gateways in listOf(10, 30)) compare("$load, $gateways gateways", gateways, scenario)
        }

    private fun compare(name: String, gateways: Int, scenario: ReturningScenario) {
        val without = simulate(gateways, scenario, isPlanned = false)
        val planned = simulate(gateways, scenario, isPlanned = true)
        println("$name, without the plan: ${describe(without)}\n$name, with the plan: ${describe(planned)}")
        without.zip(planned).forEachIndexed { kind, (before, after) ->
            // The restart breaks off what runs, which differs by up to some ten requests of a kind.
            assertTrue(after.served >= before.served * 0.995, "$name: ${after.served} of kind $kind are served")
            assertTrue(after.rejectedTwice <= before.rejectedTwice, "$name: ${after.rejectedTwice} of kind $kind twice")
            assertTrue(after.longestStarved < 2_000, "$name: kind $kind waited ${after.longestStarved} ms")
        }
        assertTrue(planned.rejectionsPerServed < without.rejectionsPerServed, "$name: more rejections")
        assertTrue(planned.sumOf { it.served } >= without.sumOf { it.served }, "$name: fewer served")
    }

    private val List<ReturningResult>.rejectionsPerServed: Double
        get() = sumOf { it.rejections }.toDouble() / sumOf { it.served }

    private fun simulate(gateways: Int, scenario: ReturningScenario, isPlanned: Boolean) =
        ReturningLoad(seed = 1, gateways, scenario, isPlanned).simulate().results.values.toList()

    private fun describe(results: List<ReturningResult>): String {
        val worth = results.sumOf { it.onTime + 0.3 * it.late } / results.sumOf { it.asked }
        return "served %d, worth %.3f, rejections per served request %.3f".format(
            results.sumOf { it.served },
            worth,
            results.rejectionsPerServed,
        ) + results.joinToString("") {
            it.run {
                "\n  of $asked $onTime on time, $late late; $rejections rejections, $rejectedTwice twice, " +
                    "${waitedInVain / 1_000} s waited in vain, $longestStarved ms without a dispatch"
            }
        }
    }
}
