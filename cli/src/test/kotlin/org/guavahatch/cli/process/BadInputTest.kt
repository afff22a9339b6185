package org.guavahatch.cli.process

import org.guavahatch.standins.launch.LocalHttp
import java.net.Socket
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Bad requests get a clear error in the callers' format, are counted, and disturb nothing else. */
class BadInputTest {
    private val frostFleece = FrostFleece()
    private val entry = frostFleece.deployment.entries[0]

    @AfterTest
    fun stop() = frostFleece.close()

    private class Case(
        val name: String,
        val status: Int,
        val code: String,
        val path: String = "/v1/chat/completions",
        val method: String = "POST",
        val body: String = CHAT,
        val headers: List<String> = emptyList(),
        val key: String? = "frost-key-office",
    )

    private val cases = listOf(
        Case("no key", 401, "missing-key", key = null),
        Case("unknown key", 401, "unknown-key", key = "nobody"),
        Case("unknown route", 404, "unknown-route", path = "/nowhere"),
        Case("wrong method", 405, "wrong-method", method = "GET"),
        Case("malformed JSON", 400, "malformed-body", body = "{\"messages\": ["),
        Case("no messages", 400, "malformed-body", body = "{}"),
        Case("no tokens allowed", 400, "malformed-body", body = CHAT.replace("8", "0")),
        Case("too large a body", 413, "body-too-large", body = "x".repeat(1_100_000)),
        Case("too long a prompt", 413, "prompt-too-large", body = CHAT.replace("hi", "word ".repeat(100_000))),
        Case("too long a header", 431, "header-too-large", headers = listOf("guavahatch-tier", "t".repeat(600))),
        Case("negative deadline", 400, "bad-deadline", headers = listOf("guavahatch-deadline-ms", "-5")),
        Case("deadline that is no number", 400, "bad-deadline", headers = listOf("guavahatch-deadline-ms", "soon")),
        Case("unknown tier", 400, "unknown-tier", headers = listOf("guavahatch-tier", "royal")),
        Case("tier above the account's", 403, "tier-not-allowed", headers = listOf("guavahatch-tier", "till")),
        Case("order without key", 400, "missing-idempotency-key", path = "/orders"),
        Case(
            "order with a bad key",
            400,
            "bad-idempotency-key",
            path = "/orders",
            headers = listOf("Idempotency-Key", "a b"),
        ),
    )

    @Test
    fun `each bad request gets its error and is counted`() {
        cases.forEach { case ->
            val authorization = case.key?.let { listOf("Authorization", "Bearer $it") }.orEmpty()
            val headers = (authorization + case.headers).toTypedArray()
            val url = entry.url + case.path
            val answer =
                if (case.method == "GET") LocalHttp.get(url, *headers) else LocalHttp.post(url, case.body, *headers)
            assertEquals(case.status, answer.statusCode(), "${case.name}: ${answer.body()}")
            assertTrue("\"code\":\"${case.code}\"" in answer.body(), "${case.name}: ${answer.body()}")
            val metrics = LocalHttp.get("${entry.adminUrl}/metrics").body()
            assertTrue("error=\"${case.code}\"" in metrics, "${case.name} is not counted")
        }
        assertEquals("answered", frostFleece.placeOrder("after-bad-input").header("guavahatch-outcome"))
    }

    @Test
    fun `garbage and half-open connections on the inner port disturb nothing`() {
        val endpoint = frostFleece.deployment.pool("order-app").first()
        val idle = List(20) { Socket("127.0.0.1", endpoint.innerPort) }
        val random = Random(1)
        repeat(20) {
            Socket("127.0.0.1", endpoint.innerPort).use { it.getOutputStream().write(random.nextBytes(400)) }
        }
        val orders = List(10) { frostFleece.placeOrder("garbage-$it").header("guavahatch-outcome") }
        assertEquals(List(10) { "answered" }, orders)
        val isCounted = awaitTrue(5000) {
            "cause=\"malformed\"" in LocalHttp.get("${endpoint.adminUrl}/metrics").body()
        }
        assertTrue(isCounted, "garbage is not counted")
        idle.forEach { it.close() }
    }

    private companion object {
        const val CHAT = """{"messages":[{"role":"user","content":"hi"}],"max_tokens":8}"""
    }
}
