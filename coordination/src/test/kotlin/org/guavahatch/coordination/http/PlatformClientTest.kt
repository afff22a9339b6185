package org.guavahatch.coordination.http

import io.ktor.http.HttpMethod
import kotlinx.coroutines.runBlocking
import java.io.BufferedReader
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals

/** Services that write a second answer, whole or cut, on the connection of a call. */
class PlatformClientTest {
    /**
     * @property behind bytes behind the answer to the first call
     * @property before bytes before the answer to the next call on the same connection
     */
    private class Case(val name: String, val behind: String = "", val before: String = "")

    private val reused = listOf(
        Case("one answer"),
        Case("a cut answer behind the first", behind = "HTTP/1.1 200 OK"),
        Case("a cut header behind the first", behind = "HTTP/1.1 200 OK\r\nX-A: b"),
        Case("a whole answer behind the first", behind = answer(200, "late")),
        Case("a cut answer before the next", before = "HTTP/1.1 200 OK"),
        Case("a cut header before the next", before = "HTTP/1.1 200 OK\r\nX-A: b"),
        Case("a whole answer before the next", before = answer(200, "late")),
    )

    private val cut = listOf("HTTP/1.1 200 ", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nX-A: b")

    @Test
    fun `a second answer to a call does not meet the next call`() {
        val odd = reused.associateWith { case ->
            play { socket, number ->
                val isNextOnConnection = number > 1
                val before = if (isNextOnConnection) case.before else ""
                val behind = if (isNextOnConnection) "" else case.behind
                socket.getOutputStream().write((before + answer(404, "own") + behind).toByteArray())
            }
        }.filter { (_, received) -> received != listOf("404 own", "404 own") }
        assertEquals("", odd.entries.joinToString("\n") { (case, received) -> "${case.name}: $received" })
    }

    @Test
    fun `an answer that is put together from two is a failure`() {
        val odd = cut.associateWith { beginning ->
            play { socket, _ -> socket.getOutputStream().write((beginning + answer(404, "own")).toByteArray()) }
        }.filter { (_, received) -> received != listOf("failed", "failed") }
        assertEquals(emptyMap(), odd)
    }

    /** Makes two calls to a service with [behaviour], which gets the number of the call on its connection. */
    private fun play(behaviour: (Socket, Int) -> Unit): List<String> =
        ServerSocket(0, 8, InetAddress.getByName("127.0.0.1")).use { server ->
            thread(isDaemon = true) {
                runCatching {
                    while (true) server.accept().let { thread(isDaemon = true) { it.use { serve(it, behaviour) } } }
                }
            }
            PlatformClient("http://127.0.0.1:${server.localPort}", TIMEOUT_MILLISECONDS).use { client ->
                List(2) {
                    Thread.sleep(IDLE_MILLISECONDS)
                    call(client)
                }
            }
        }

    private fun call(client: PlatformClient): String = runBlocking {
        client.call("read", HttpMethod.Get, "/x", isWrite = false).fold({ "failed" }, { "${it.status} ${it.body}" })
    }

    private fun serve(socket: Socket, behaviour: (Socket, Int) -> Unit) {
        val input = socket.getInputStream().bufferedReader()
        var number = 0
        runCatching {
            while (true) {
                val isClosing = readHead(input).any { it.equals("Connection: close", ignoreCase = true) }
                behaviour(socket, ++number)
                if (isClosing) return
            }
        }
    }

    private fun readHead(input: BufferedReader): List<String> {
        val lines = generateSequence { input.readLine() }.takeWhile { it.isNotEmpty() }.toList()
        check(lines.isNotEmpty()) { "The connection has ended." }
        return lines
    }

    private companion object {
        const val TIMEOUT_MILLISECONDS = 3_000L
        const val IDLE_MILLISECONDS = 50L

        fun answer(status: Int, body: String) = "HTTP/1.1 $status X\r\nContent-Length: ${body.length}\r\n\r\n$body"
    }
}
