package org.guavahatch.scheduling.quarantine

import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.time.ManualClock
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Many gateways, each of which sees a part of the ends and hears of the rest by datagrams that may be lost. */
class QuarantineFleetTest {
    /**
     * @property gateways number of gateways
     * @property lossShare share of the datagrams that are lost
     * @property gapMilliseconds time between two ends
     */
    private class Case(val name: String, val gateways: Int, val lossShare: Double, val gapMilliseconds: Long)

    private val cases = listOf(
        Case("5 gateways", 5, 0.0, 400),
        Case("33 gateways", 33, 0.0, 100),
        Case("33 gateways, slow ends", 33, 0.0, 4_000),
        Case("33 gateways, lost datagrams", 33, 0.3, 300),
        Case("300 gateways", 300, 0.1, 100),
    )

    private class Fleet(case: Case, seed: Int) {
        private val random = Random(seed)
        private val lossShare = case.lossShare
        val clock = ManualClock(100_000)
        val gateways = List(case.gateways) { PromptQuarantine(clock) }
        var ends = 0

        /** An endpoint ends; one gateway has a deadly request there, others have sound ones. */
        fun end() {
            val process = EndpointProcess(EndpointId("i-${ends++}"), 1)
            gateways.random(random).recordCrash(process, PromptParts.parse("first,dead,own$ends"))
            repeat(3) {
                gateways.random(random).recordCrash(process, PromptParts.parse("first,rare${random.nextInt(20)},x$it"))
            }
            gateways.random(random).recordAnswered(PromptParts.parse("first,rare${random.nextInt(20)},y"))
        }

        /** Runs for [milliseconds], with a round of datagrams each 250 ms. */
        fun run(milliseconds: Long) {
            val until = clock.monotonicMilliseconds() + milliseconds
            while (clock.monotonicMilliseconds() < until) {
                clock.advance(minOf(ROUND_MILLISECONDS, until - clock.monotonicMilliseconds()))
                exchange()
                gateways.forEach { it.review() }
            }
        }

        private fun exchange() {
            val reports = gateways.map { it.report() }
            gateways.forEachIndexed { receiver, gateway ->
                reports.forEachIndexed { sender, report ->
                    if (sender != receiver && !report.isEmpty && random.nextDouble() >= lossShare) gateway.merge(report)
                }
            }
        }

        fun isHeld(prompt: String) = gateways.count { it.find(PromptParts.parse(prompt)) != null }
    }

    @Test
    fun `all gateways hold a deadly part back within three seconds of the fifth end, and no sound one`() =
        cases.forEach { case ->
            repeat(SEEDS) { seed ->
                val fleet = Fleet(case, seed)
                repeat(FIFTH) {
                    fleet.end()
                    fleet.run(case.gapMilliseconds)
                }
                fleet.run(maxOf(0, CONTACT_MILLISECONDS - case.gapMilliseconds))
                val name = "${case.name}, seed $seed"
                assertEquals(case.gateways, fleet.isHeld("first,dead,new"), name)
                val sound = (0 until 20).sumOf { fleet.isHeld("first,rare$it,new") } + fleet.isHeld("first,new")
                assertEquals(0, sound, "$name: sound parts")
            }
        }

    @Test
    fun `a gateway that starts later hears of what is held back`() {
        val fleet = Fleet(cases.first(), 1)
        repeat(FIFTH) {
            fleet.end()
            fleet.run(400)
        }
        fleet.run(CONTACT_MILLISECONDS)
        val late = PromptQuarantine(fleet.clock)
        late.merge(fleet.gateways.first().report())
        assertTrue(late.find(PromptParts.parse("first,dead,new")) != null)
    }

    private companion object {
        const val SEEDS = 10
        const val FIFTH = 5
        const val ROUND_MILLISECONDS = 250L

        /** The shortest time that the users' deployments allow after the fifth end. */
        const val CONTACT_MILLISECONDS = 3_000L
    }
}
