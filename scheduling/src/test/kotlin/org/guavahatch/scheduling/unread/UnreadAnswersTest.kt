package org.guavahatch.scheduling.unread

import org.guavahatch.model.time.ManualClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class UnreadAnswersTest {
    private val clock = ManualClock()
    private val answers = UnreadAnswers<String>(clock, MAXIMUM)

    private fun hold(caller: String, bytes: Long, unread: Long = bytes, isWritable: Boolean = true) =
        answers.report(caller, bytes, unread, isWritable)

    /** Lets time pass with regular checks, and returns those who are given up. */
    private fun pass(milliseconds: Long): List<String> = (1..milliseconds / CHECK).flatMap {
        clock.advance(CHECK)
        answers.callersToGiveUp().onEach(answers::remove)
    }

    private class Case(val name: String, val held: Map<String, Long>, val heldBack: Set<String>)

    private val cases = listOf(
        Case("nobody while there is room", mapOf("a" to 500L, "b" to 300L), emptySet()),
        Case("a single caller above 8/9 of the budget", mapOf("a" to 900L), setOf("a")),
        Case("those that hold most, not the others", mapOf("a" to 470L, "b" to 470L, "c" to 10L), setOf("a", "b")),
        Case("all that hold something without room", mapOf("a" to 990L, "b" to 10L), setOf("a", "b")),
    )

    // Guards against one hungry caller taking the room of all, and against fast callers that wait for slow ones.
    @Test
    fun `those that hold most are held back first and a caller that holds nothing never is`() = cases.forEach { case ->
        val answers = UnreadAnswers<String>(clock, MAXIMUM)
        case.held.forEach { (caller, bytes) -> answers.report(caller, bytes, bytes, true) }
        assertEquals(case.heldBack, case.held.keys.filterNot(answers::mayReadOn).toSet(), case.name)
        assertTrue(answers.mayReadOn("fast"), case.name)
        assertEquals(case.heldBack.isNotEmpty(), answers.isUsedUp, case.name)
    }

    // Guards against an answer that its endpoint cuts off although the gateway has room for it.
    @Test
    fun `an answer whose connection is full is read on after a second while there is room`() {
        hold("a", 100, isWritable = false)
        assertEquals(false, answers.mayReadOn("a"))
        pass(1_000)
        hold("a", 100, isWritable = false)
        assertTrue(answers.mayReadOn("a"))
        hold("a", 900, isWritable = false)
        assertEquals(false, answers.mayReadOn("a"), "no room")
        hold("a", 90)
        hold("a", 100, isWritable = false)
        assertEquals(false, answers.mayReadOn("a"), "writable in between")
    }

    // Guards against callers that are cut though there is room, and against room that silent callers keep for ever.
    @Test
    fun `a silent caller is given up only while the budget is used up`() {
        hold("silent", 500)
        assertEquals(emptyList(), pass(20_000))
        hold("other", 400)
        assertEquals(listOf("silent"), pass(CHECK))
        assertEquals(emptyList(), pass(20_000), "there is room again")
        assertEquals(400, answers.totalBytes)
    }

    // Guards against cutting callers that read slowly, also inside one large block.
    @Test
    fun `a caller that reads something now and then is not given up`() {
        hold("a", 950, unread = 950)
        val unread = generateSequence(950L) { it - 10 }.iterator()
        repeat(10) {
            assertEquals(emptyList(), pass(4_000))
            hold("a", 950, unread.next())
            hold("a", 950, unread.next())
        }
    }

    @Test
    fun `no more silent callers are given up than needed and those that hold most come first`() {
        hold("small", 10)
        hold("large", 600)
        hold("middle", 390)
        assertEquals(listOf("large"), pass(6_000))
    }

    // Guards against memory without bound if answers come faster than callers can be found silent.
    @Test
    fun `beyond the budget callers are given up at once and those that read come last`() {
        hold("silent", 300)
        pass(1_000)
        hold("reading", 1_200)
        assertEquals(listOf("silent", "reading"), pass(CHECK))
    }

    // Guards against a frozen process that cuts all callers when it goes on.
    @Test
    fun `a pause of the process does not count as time without reading`() {
        hold("a", 950)
        pass(2_000)
        clock.advance(30_000)
        assertEquals(emptyList(), answers.callersToGiveUp())
        assertEquals(listOf("a"), pass(3_000))
    }

    private companion object {
        const val MAXIMUM = 1_000L
        const val CHECK = 100L
    }
}
