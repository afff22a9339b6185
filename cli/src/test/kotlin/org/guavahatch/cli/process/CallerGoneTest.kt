package org.guavahatch.cli.process

import org.guavahatch.standins.launch.LocalHttp
import java.net.Socket
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertTrue

/** The engine stops a request whose caller closes its connection or whose deadline passes. */
class CallerGoneTest {
    private val frostFleece = FrostFleece { engines("model-desk", 0.02) }
    private val entry = frostFleece.deployment.entries[0]

    @AfterTest
    fun stop() = frostFleece.close()

    private fun runningRequests(): Int = frostFleece.deployment.endpointsOf("model-desk").sumOf { endpoint ->
        val load = LocalHttp.get("${endpoint.endpointUrl}/load").body()
        Regex("\"running\":(\\d+)").find(load)?.groupValues?.get(1)?.toInt() ?: 0
    }

    @Test
    fun `the engine stops when the caller has gone`() {
        val socket = Socket("127.0.0.1", entry.callerPort)
        val request = "POST /v1/chat/completions HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer frost-key-office\r\n" +
            "Content-Type: application/json\r\nContent-Length: ${CHAT_BODY.length}\r\n\r\n$CHAT_BODY"
        socket.getOutputStream().write(request.toByteArray())
        assertTrue(awaitTrue(8000) { runningRequests() == 1 }, "the engine does not run the request")
        socket.close()
        assertTrue(awaitTrue(8000) { runningRequests() == 0 }, "the engine still runs the request")
    }

    @Test
    fun `the engine stops when the deadline has passed`() {
        val headers = arrayOf("Authorization", "Bearer frost-key-office", "guavahatch-deadline-ms", "3000")
        val response = LocalHttp.post("${entry.url}/v1/chat/completions", CHAT_BODY, *headers)
        assertTrue("event: error" in response.body(), response.body().takeLast(200))
        assertTrue("[DONE]" !in response.body(), "the stream ends without an error")
        assertTrue(awaitTrue(8000) { runningRequests() == 0 }, "the engine still runs the request")
    }

    private companion object {
        const val CHAT_BODY = """{"messages":[{"role":"user","content":"long"}],"max_tokens":20000,"stream":true}"""
    }
}
