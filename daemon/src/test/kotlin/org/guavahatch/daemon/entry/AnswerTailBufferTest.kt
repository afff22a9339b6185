package org.guavahatch.daemon.entry

import kotlin.test.Test
import kotlin.test.assertEquals

class AnswerTailBufferTest {
    private class Case(
        val name: String,
        val isEventStream: Boolean,
        val blocks: List<String>,
        val written: List<String>,
        val remainder: String,
    )

    private val event = "data: {}\n\n"
    private val end = "data: [DONE]\n\n"

    private val cases = listOf(
        Case("the first event is written immediately", true, listOf(event), listOf(event), ""),
        Case("the last event is delayed", true, listOf(event, end), listOf(event, ""), end),
        Case("a block with the last event is delayed", true, listOf(event + end), listOf(""), event + end),
        Case("an event after the end marker is written with it", true, listOf(end, event), listOf("", end + event), ""),
        Case("in other bodies the last block is delayed", false, listOf("a", "b", "c"), listOf("", "a", "b"), "c"),
    )

    @Test
    fun `only the end of an answer is delayed`() {
        cases.forEach { case ->
            val tailBuffer = AnswerTailBuffer(case.isEventStream)
            val written = case.blocks.map { tailBuffer.accept(it.toByteArray()).decodeToString() }
            assertEquals(case.written, written, case.name)
            assertEquals(case.remainder, tailBuffer.remainder().decodeToString(), case.name)
        }
    }
}
