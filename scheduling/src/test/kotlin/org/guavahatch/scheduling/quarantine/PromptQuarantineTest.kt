package org.guavahatch.scheduling.quarantine

import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableSet
import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.time.ManualClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class PromptQuarantineTest {
    /** What one gateway observes, in order; 200 ms pass after each step. */
    private class Observer {
        val clock = ManualClock(10_000)
        val quarantine = PromptQuarantine(clock)
        private var processes = 0

        /** The process of an endpoint ends without an answer to the requests with [prompts]. */
        fun crash(vararg prompts: String) {
            val process = EndpointProcess(EndpointId("i-${processes++}"), 1)
            prompts.forEach { quarantine.recordCrash(process, PromptParts.parse(it)) }
            step()
        }

        fun answer(prompt: String) {
            quarantine.recordAnswered(PromptParts.parse(prompt))
            step()
        }

        /** Endpoints end at the same moment, each without an answer to one of the [prompts]. */
        fun crashTogether(vararg prompts: String) {
            prompts.forEach {
                quarantine.recordCrash(EndpointProcess(EndpointId("i-${processes++}"), 1), PromptParts.parse(it))
            }
            step()
        }

        private fun step() {
            clock.advance(200)
            quarantine.review()
        }
    }

    /** @property expected the quarantines in force a second after the [steps] */
    private class Case(val name: String, vararg val expected: String, val steps: Observer.() -> Unit)

    private val cases = listOf(
        Case("the part that several requests share at three ends", "a,d") {
            repeat(3) { crash("a:60,d:100,own$it:9") }
        },
        Case("a part that was answered with other requests is not held back with it", "d") {
            repeat(3) { crash("a,d,own$it", "a,sound$it") }
            answer("a,other")
        },
        Case("a part answered after the decision is released", "d") {
            repeat(3) { crash("a,d,own$it") }
            repeat(8) { answer("b,x") }
            answer("a,other")
        },
        Case("a sound part at four endpoints of a machine that ends") {
            crashTogether("a,x1", "a,x2", "a,x3", "a,x4", "b,x5")
        },
        Case("two ends are not enough") { repeat(2) { crash("a,d,own$it") } },
        Case("one request that is sent again and again is not enough") { repeat(9) { crash("a,d,own") } },
        Case("the last part belongs to the request and does not count") { repeat(9) { crash("own") } },
        Case("a request without parts does not count") { repeat(9) { crash("") } },
        Case("sound requests at ends without a common part") { repeat(9) { crash("a$it,own$it", "b$it,x$it") } },
        Case("a part that is answered between the ends") {
            repeat(9) {
                crash("a,own$it")
                answer("a,other$it")
            }
        },
        Case("a sound part at fewer ends than the deadly one", "d") {
            crash("d,own1", "a,x1")
            crash("d,own2", "a,x2")
            crash("d,own3", "a,x3")
            crash("d,own4")
        },
        Case("two parts at the same ends are not told apart after three") {
            repeat(3) { crash("d,own$it", "a,x$it") }
        },
        Case("two parts at the same ends are both held back after five", "d", "a") {
            repeat(5) { crash("d,own$it", "a,x$it") }
        },
        Case("two deadly parts", "d", "e") {
            repeat(3) {
                crash("d,own$it")
                crash("e,own$it")
            }
            crash("d,own3")
        },
        Case("ends that the deadly part explains do not count against others", "d") {
            repeat(4) { crash("d,own$it") }
            repeat(8) { answer("b,x") }
            repeat(9) { crash("d,late$it", "a,x$it") }
        },
        Case("a part that was sound for long needs five ends", "d") {
            answer("d,before")
            repeat(5) { crash("d,own$it") }
        },
        Case("a part that was sound for long is not held back after four ends") {
            answer("d,before")
            repeat(4) { crash("d,own$it") }
        },
    )

    @Test
    fun `only the parts that end endpoints are held back, not those of requests that waited there too`() =
        cases.forEach { case ->
            val observer = Observer().apply(case.steps)
            repeat(10) {
                observer.clock.advance(100)
                observer.quarantine.review()
            }
            assertEquals(case.expected.toSet(), observer.quarantine.active.map { it.toString() }.toSet(), case.name)
        }

    @Test
    fun `only requests that have all parts of a quarantine are held back`() {
        val quarantine = PromptQuarantine(ManualClock(1_000))
        quarantine.add(Quarantine(persistentSetOf("a", "d")))
        listOf("a,d,own" to true, "d,x,a,own" to true, "a,own" to false, "d,own" to false, "a,d" to false, "" to false)
            .forEach { (prompt, isHeld) ->
                assertEquals(isHeld, quarantine.find(PromptParts.parse(prompt)) != null, prompt)
            }
    }

    @Test
    fun `a quarantine ends after its time and takes new evidence to begin again`() {
        val observer = Observer().apply { repeat(3) { crash("d,own$it") } }
        repeat(10) { observer.answer("b,x") }
        val quarantine = observer.quarantine
        assertNotNull(quarantine.find(PromptParts.parse("d,own")))
        observer.clock.advance(PromptQuarantine.DURATION_MILLISECONDS)
        assertEquals(listOf("d"), quarantine.review().ended.map { it.toString() })
        assertNull(quarantine.find(PromptParts.parse("d,own")))
        assertTrue(quarantine.review().added.isEmpty())
    }

    @Test
    fun `a released quarantine is not taken over again from peers that have not heard of the release`() {
        val clock = ManualClock(1_000)
        val (first, second) = List(2) { PromptQuarantine(clock) }
        val quarantine = Quarantine(persistentSetOf("d"))
        first.add(quarantine)
        clock.advance(100)
        second.merge(first.report())
        clock.advance(100)
        val old = second.report()
        first.release(quarantine)
        clock.advance(100)
        assertEquals(emptyList(), first.merge(old))
        second.merge(first.report())
        second.review()
        assertEquals(emptySet(), second.active)
    }

    @Test
    fun `the end of a quarantine does not clear a part that another one holds back`() {
        val quarantine = PromptQuarantine(ManualClock(1_000))
        val (larger, smaller) = listOf(persistentSetOf("a", "d"), persistentSetOf("d")).map(::Quarantine)
        listOf(larger, smaller).forEach { quarantine.add(it) }
        quarantine.release(larger)
        quarantine.review()
        assertEquals(setOf(smaller), quarantine.active)
    }

    @Test
    fun `memory and reports are bounded when many parts and ends are forged`() {
        val clock = ManualClock(1_000)
        val quarantine = PromptQuarantine(clock)
        repeat(2_000) { number ->
            val parts = List(40) { "p${number % 50}-$it" }.joinToString(",")
            repeat(40) { request ->
                val process = EndpointProcess(EndpointId("i-$number"), 1)
                quarantine.recordCrash(process, PromptParts.parse("$parts,own$request"))
            }
            quarantine.recordAnswered(PromptParts.parse(List(16) { "q$number-$it" }.joinToString(",") + ",own"))
            repeat(3) { quarantine.add(Quarantine(setOf("x$number-$it").toImmutableSet())) }
            clock.advance(100)
        }
        quarantine.review()
        val report = quarantine.report()
        assertTrue(quarantine.active.size <= 64, "${quarantine.active.size} quarantines")
        assertTrue(report.crashes.size <= 6 && report.crashes.all { it.requests.size <= 6 }, "crashes")
        assertTrue(report.answerAges.size <= 32 && report.remaining.size <= 16, "parts")
    }
}
