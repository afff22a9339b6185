package org.guavahatch.gateway.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class SingleHeadResponseDecoderTest {
    /** @property bytes what is read in one piece */
    private class Case(val name: String, val bytes: String, val responses: Int, val unread: Int)

    private val answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
    private val chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"

    private val cases = listOf(
        Case("one response", answer, responses = 1, unread = 0),
        Case("a response in chunks", chunked, responses = 1, unread = 0),
        Case("an interim response", "HTTP/1.1 102 X\r\n\r\n", responses = 1, unread = 0),
        Case("two responses", answer + chunked, responses = 2, unread = 0),
        Case("a response and the first byte of another", answer + "H", responses = 1, unread = 1),
        Case("a response and a status line", chunked + "HTTP/1.1 200 OK\r\n", responses = 1, unread = 17),
        Case("a response and most of a head", answer + "HTTP/1.1 200 OK\r\nA: b\r\n", responses = 1, unread = 23),
    )

    @Test
    fun `bytes of an unfinished head count as unread`() = cases.forEach { case ->
        listOf(case.bytes.length, 1).forEach { pieceLength ->
            val decoder = SingleHeadResponseDecoder()
            val channel = EmbeddedChannel(decoder)
            case.bytes.chunked(pieceLength).forEach { channel.writeInbound(bytes(it)) }
            val messages = channel.messages()
            assertEquals(case.responses, messages.count { it is HttpResponse }, case.name)
            assertEquals(case.responses, messages.count { it is LastHttpContent }, case.name)
            assertEquals(case.unread, decoder.unreadBytes, case.name)
            messages.forEach { ReferenceCountUtil.release(it) }
        }
    }

    @Test
    fun `a head that is put together from two is no answer`() {
        val channel = EmbeddedChannel(SingleHeadResponseDecoder())
        channel.writeInbound(bytes(answer + "HTTP/1.1 200 OK"))
        val exception = assertFailsWith<MalformedHeadException> {
            channel.writeInbound(bytes("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"))
        }
        assertEquals("two status lines", exception.problem)
    }

    @Test
    fun `bytes that begin no head are refused before their end, and a head without end at its limit`() =
        listOf("garbage", "\r\n", "HTTP/1.1 200 OK\r\n" + "A: b\r\n".repeat(4_000)).forEach { text ->
            assertFailsWith<MalformedHeadException>(text.take(20)) {
                EmbeddedChannel(SingleHeadResponseDecoder()).writeInbound(bytes(text))
            }
        }

    private fun bytes(text: String) = Unpooled.copiedBuffer(text, Charsets.ISO_8859_1)

    private fun EmbeddedChannel.messages(): List<Any> = generateSequence { readInbound<Any>() }.toList()
}
