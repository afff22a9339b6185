package org.guavahatch.gateway.http

import io.netty.buffer.Unpooled
import kotlin.test.Test
import kotlin.test.assertEquals

class EmbeddedResponseTest {
    private class Case(val name: String, val body: String, val isFound: Boolean)

    private val cases = listOf(
        Case("a body", "fleece, HTTP/1.1 and more", false),
        Case("a status line in a text", "the server replies HTTP/1.1 200 OK\r\nto a request-id: x", false),
        Case("a request in a text", "POST / HTTP/1.1\r\nRequest-Id: a\r\n", false),
        Case("the head of a response", "bodyHTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nbody", true),
        Case("fields before the id", "bodyHTTP/1.1 500 X\r\nDate: d\r\nSeal: s\r\nrequest-id: a", true),
        Case("a second head after a text", "HTTP/1.1 200 OK is a success. HTTP/1.1 200 OK\nRequest-Id: a", true),
    )

    @Test
    fun `the head of another response inside a body is found, in one piece and byte by byte`() = cases.forEach { case ->
        listOf(case.body.length, 3, 1).forEach { length ->
            val embedded = EmbeddedResponse("Request-Id")
            val found = case.body.chunked(length).map {
                embedded.isFoundIn(Unpooled.copiedBuffer(it, Charsets.US_ASCII))
            }
            assertEquals(case.isFound, true in found, "${case.name} in pieces of $length")
        }
    }
}
