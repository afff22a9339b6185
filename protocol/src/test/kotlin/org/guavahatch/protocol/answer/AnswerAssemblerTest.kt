package org.guavahatch.protocol.answer

import org.guavahatch.model.identity.Incarnation
import org.guavahatch.model.identity.RequestId
import org.guavahatch.protocol.message.AnswerChunk
import org.guavahatch.protocol.message.AnswerEnd
import org.guavahatch.protocol.message.AnswerHead
import org.guavahatch.protocol.message.AnswerMessage
import kotlin.test.Test
import kotlin.test.assertEquals

class AnswerAssemblerTest {
    private val id = RequestId(Incarnation("entry"), 1)
    private val text = "abcdef"
    private val head = AnswerHead(id, 1, 200, "text/plain")

    private fun chunk(from: Int, to: Int, attempt: Int = 1) =
        AnswerChunk(id, attempt, from.toLong(), 0, text.substring(from, to).toByteArray())

    private fun end(length: Int = text.length, content: String = text): AnswerEnd {
        val checksum = BodyChecksum().apply { add(content.toByteArray()) }
        return AnswerEnd(id, 1, length.toLong(), checksum.value, 0, 0)
    }

    private class Case(val name: String, val frames: List<AnswerMessage>, val body: String, val lastResult: String)

    private val cases = listOf(
        Case("in order", listOf(head, chunk(0, 3), chunk(3, 6), end()), "abcdef", "Complete"),
        Case("repeated parts", listOf(head, chunk(0, 3), chunk(0, 3), chunk(3, 6), end()), "abcdef", "Complete"),
        Case("overlapping parts", listOf(head, chunk(0, 4), chunk(2, 6), end()), "abcdef", "Complete"),
        Case("repeated head", listOf(head, head, chunk(0, 6), end()), "abcdef", "Complete"),
        Case("repeated end", listOf(head, chunk(0, 6), end(), end()), "abcdef", "Ignored"),
        Case("part of another attempt", listOf(head, chunk(0, 3), chunk(3, 6, attempt = 2), end()), "abc", "Broken"),
        Case("missing part", listOf(head, chunk(3, 6)), "", "Broken"),
        Case("part before head", listOf(chunk(0, 3)), "", "Broken"),
        Case("end before head", listOf(end(0, "")), "", "Broken"),
        Case("body shorter than announced", listOf(head, chunk(0, 3), end()), "abc", "Broken"),
        Case("checksum of different content", listOf(head, chunk(0, 6), end(6, "abcdeX")), "abcdef", "Broken"),
        Case("empty answer", listOf(head, end(0, "")), "", "Complete"),
    )

    @Test
    fun `the body is assembled once and in order, or the answer is reported as broken`() {
        cases.forEach { case ->
            val assembler = AnswerAssembler(attempt = 1)
            val results = case.frames.map(assembler::accept)
            val body = results.filterIsInstance<AssemblyResult.BodyPart>().joinToString("") {
                it.bytes.decodeToString()
            }
            assertEquals(case.body, body, case.name)
            assertEquals(case.lastResult, results.last()::class.simpleName, case.name)
        }
    }
}
