package org.guavahatch.cli.process

import org.guavahatch.standins.launch.LocalHttp
import java.net.Socket
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Invalid requests are rejected with a specific error code, are counted, and do not affect valid requests. */
class BadInputTest {
    private val frostFleece = FrostFleece()
    private val entry = frostFleece.deployment.entries[0]

    @AfterTest
    fun stop() = frostFleece.close()

    private class InvalidRequest(
        val description: String,
        val status: Int,
        val code: String,
        val path: String = "/v1/chat/completions",
        val method: String = "POST",
        val body: String = CHAT_BODY,
        val headers: List<String> = emptyList(),
        val key: String? = "frost-key-office",
    )

    private val invalidRequests = listOf(
        InvalidRequest("no client key", 401, "missing-key", key = null),
        InvalidRequest("unknown client key", 401, "unknown-key", key = "nobody"),
        InvalidRequest("unknown route", 404, "unknown-route", path = "/nowhere"),
        InvalidRequest("wrong method", 405, "wrong-method", method = "GET"),
        InvalidRequest("malformed JSON", 400, "malformed-body", body = "{\"messages\": ["),
        InvalidRequest("no messages", 400, "malformed-body", body = "{}"),
        InvalidRequest("max_tokens of 0", 400, "malformed-body", body = CHAT_BODY.replace("8", "0")),
        InvalidRequest("oversized body", 413, "body-too-large", body = "x".repeat(1_100_000)),
        InvalidRequest(
            "oversized prompt",
            413,
            "prompt-too-large",
            body = CHAT_BODY.replace("hi", "word ".repeat(100_000)),
        ),
        InvalidRequest(
            "oversized header",
            431,
            "header-too-large",
            headers = listOf("guavahatch-tier", "t".repeat(600)),
        ),
        InvalidRequest("negative deadline", 400, "bad-deadline", headers = listOf("guavahatch-deadline-ms", "-5")),
        InvalidRequest("non-numeric deadline", 400, "bad-deadline", headers = listOf("guavahatch-deadline-ms", "soon")),
        InvalidRequest("unknown tier", 400, "unknown-tier", headers = listOf("guavahatch-tier", "royal")),
        InvalidRequest("tier above the limit", 403, "tier-not-allowed", headers = listOf("guavahatch-tier", "till")),
        InvalidRequest("order without an idempotency key", 400, "missing-idempotency-key", path = "/orders"),
        InvalidRequest(
            "order with an invalid idempotency key",
            400,
            "bad-idempotency-key",
            path = "/orders",
            headers = listOf("Idempotency-Key", "a b"),
        ),
    )

    @Test
    fun `each invalid request is rejected with its error code and counted`() {
        invalidRequests.forEach { request ->
            val authorization = request.key?.let { listOf("Authorization", "Bearer $it") }.orEmpty()
            val headers = (authorization + request.headers).toTypedArray()
            val url = entry.url + request.path
            val response = if (request.method == "GET") {
                LocalHttp.get(url, *headers)
            } else {
                LocalHttp.post(url, request.body, *headers)
            }
            assertEquals(request.status, response.statusCode(), "${request.description}: ${response.body()}")
            val isExpectedCode = "\"code\":\"${request.code}\"" in response.body()
            assertTrue(isExpectedCode, "${request.description}: ${response.body()}")
            val metrics = LocalHttp.get("${entry.adminUrl}/metrics").body()
            assertTrue("error=\"${request.code}\"" in metrics, "${request.description} is not counted")
        }
        assertEquals("answered", frostFleece.placeOrder("after-bad-input").header("guavahatch-outcome"))
    }

    @Test
    fun `malformed data and idle connections on the inner port do not affect orders`() {
        val endpoint = frostFleece.deployment.endpointsOf("order-app").first()
        val idleConnections = List(20) { Socket("127.0.0.1", endpoint.innerPort) }
        val random = Random(1)
        repeat(20) {
            Socket("127.0.0.1", endpoint.innerPort).use { it.getOutputStream().write(random.nextBytes(400)) }
        }
        val outcomes = List(10) { frostFleece.placeOrder("garbage-$it").header("guavahatch-outcome") }
        assertEquals(List(10) { "answered" }, outcomes)
        val isCounted = awaitTrue(5000) {
            "cause=\"malformed\"" in LocalHttp.get("${endpoint.adminUrl}/metrics").body()
        }
        assertTrue(isCounted, "malformed data is not counted")
        idleConnections.forEach { it.close() }
    }

    private companion object {
        const val CHAT_BODY = """{"messages":[{"role":"user","content":"hi"}],"max_tokens":8}"""
    }
}
