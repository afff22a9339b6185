package org.guavahatch.gateway.http

import kotlin.test.Test
import kotlin.test.assertEquals

class ResponseHeadSyntaxTest {
    private class Case(val name: String, val head: String, val problem: String? = null)

    private val cases = listOf(
        Case("a head", "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"),
        Case("an older version", "HTTP/1.0 404 Not Found\r\n\r\n"),
        Case("no reason", "HTTP/1.1 503 \r\nA:\r\n\r\n"),
        Case("no space after the status", "HTTP/1.1 503\r\n\r\n"),
        Case("bare line feeds", "HTTP/1.1 200 OK\nA: b\n\n"),
        Case("a continued line", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n"),
        Case("a space before the colon", "HTTP/1.1 200 OK\r\nA : b\r\n\r\n"),
        Case("a version in a value", "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy, HTTP/1.1 200a\r\n\r\n"),
        Case("bytes above ASCII in a value", "HTTP/1.1 200 OK\r\nA: \u00e9\r\n\r\n"),
        Case("a second status line in the reason", "HTTP/1.1 200 OKHTTP/1.1 500 X\r\n\r\n", TWO),
        Case("a second status line in place of the reason", "HTTP/1.1 200 HTTP/1.1 500 X\r\n\r\n", TWO),
        Case("a second status line in a value", "HTTP/1.1 200 OK\r\nA: bHTTP/1.1 500 X\r\nC: d\r\n\r\n", TWO),
        Case("a second status line without a reason", "HTTP/1.1 200 OK\r\nA: bHTTP/1.1 500\r\n\r\n", TWO),
        Case("a second status line of another version", "HTTP/1.1 200 OK\r\nA: HTTP/1.0 500 X\r\n\r\n", TWO),
        Case("a second status line in a continued line", "HTTP/1.1 200 OK\r\nA: b\r\n HTTP/1.1 500 X\r\n\r\n", TWO),
        Case("a second status line behind a bare line feed", "HTTP/1.1 200 OK\nHTTP/1.1 500 X:\n\n", TWO),
        Case("a second status line after a name", "HTTP/1.1 200 OK\r\nA HTTP/1.1 500 X: y\r\n\r\n", TWO),
        Case("a status line inside the status", "HTTP/1.1 2HTTP/1.1 500 X\r\n\r\n", NO_STATUS_LINE),
        Case("bytes before the status line", "xHTTP/1.1 200 OK\r\n\r\n", NO_STATUS_LINE),
        Case("another protocol", "SHTTP/1.1 200 OK\r\n\r\n", NO_STATUS_LINE),
        Case("a later version", "HTTP/2.0 200 OK\r\n\r\n", NO_STATUS_LINE),
        Case("a status of four digits", "HTTP/1.1 2000 OK\r\n\r\n", NO_STATUS_LINE),
        Case("two spaces before the status", "HTTP/1.1  200 OK\r\n\r\n", NO_STATUS_LINE),
        Case("a line without a colon", "HTTP/1.1 200 OK\r\nA\r\n\r\n", NO_FIELD),
        Case("a name with a space", "HTTP/1.1 200 OK\r\nA b: c\r\n\r\n", NO_FIELD),
        Case("a bare carriage return", "HTTP/1.1 200 OK\r\nA: b\rC: d\r\n\r\n", NO_FIELD),
        Case("a control character in a value", "HTTP/1.1 200 OK\r\nA: b\u0000\r\n\r\n", "a control character"),
    )

    @Test
    fun `bytes that are not one head are told from a head`() = cases.forEach { case ->
        assertEquals(case.problem, ResponseHeadSyntax.problem(case.head), case.name)
    }

    @Test
    fun `bytes that can begin no head are told before its end`() {
        val beginnings = listOf("" to true, "H" to true, "HTTP/1.1 2" to true, "h" to false, "HTTP/2" to false)
        beginnings.forEach { (bytes, expected) -> assertEquals(expected, ResponseHeadSyntax.isBeginning(bytes), bytes) }
    }

    private companion object {
        const val TWO = "two status lines"
        const val NO_STATUS_LINE = "no status line"
        const val NO_FIELD = "a line that is no header field"
    }
}
