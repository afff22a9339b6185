package org.guavahatch.cli.process

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.guavahatch.standins.launch.LocalHttp
import java.io.IOException
import java.nio.file.Files
import java.util.concurrent.CompletableFuture
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Accepted configurations are in force everywhere within five seconds and never go back. */
class ConfigurationInForceTest {
    private val frostFleece = FrostFleece()
    private val deployment = frostFleece.deployment

    @Serializable
    private data class Status(val configuration: Long)

    @AfterTest
    fun stop() = frostFleece.close()

    private fun adminUrls() = deployment.endpoints.map { it.adminUrl } + deployment.entries.map { it.adminUrl }

    private fun versions(): List<Long> = adminUrls().map { url ->
        try {
            json.decodeFromString<Status>(LocalHttp.get("$url/status").body()).configuration
        } catch (_: IOException) {
            NOT_REACHED
        }
    }

    private fun publish(comment: String, vararg extra: String) = deployment.operate(
        "publish",
        FrostFleece.CONFIGURATION.toString(),
        "--platform",
        frostFleece.platform.url,
        "--comment",
        comment,
        *extra,
    )

    @Test
    fun `a publication is in force everywhere within five seconds`() {
        repeat(3) { round ->
            assertEquals(0, publish("round $round").exitCode)
            val expected = 2L + round
            assertTrue(awaitTrue(5000) { versions().all { it == expected } }, "after 5 s: ${versions()}")
        }
    }

    @Test
    fun `of racing operators one is accepted and the others learn of the conflict`() {
        val results = List(4) {
            CompletableFuture.supplyAsync { publish("racer $it", "--expect", "1") }
        }.map { it.get() }
        assertEquals(1, results.count { it.exitCode == 0 }, results.joinToString { it.output })
        results.filter { it.exitCode != 0 }.forEach {
            assertEquals(1, it.exitCode, it.output)
            assertTrue("conflict: version 2" in it.output, it.output)
        }
        assertTrue(awaitTrue(5000) { versions().all { it == 2L } }, "after 5 s: ${versions()}")
    }

    @Test
    fun `a lost answer is settled by the command itself`() {
        frostFleece.platform.faults("""{"table":{"mode":"answers-lost"}}""")
        val publication = CompletableFuture.supplyAsync { publish("lost answer", "--expect", "1") }
        Thread.sleep(12_000)
        frostFleece.platform.faults("{}")
        val result = publication.get()
        val history = deployment.operate("history", "--platform", frostFleece.platform.url).output
        val accepted = history.lines().count { "lost answer" in it }
        assertEquals(if (result.exitCode == 0) 1 else 0, accepted, result.output + history)
    }

    @Test
    fun `while the store is down restarted processes get the highest version from their peers`() {
        assertEquals(0, publish("before the outage").exitCode)
        assertTrue(awaitTrue(5000) { versions().all { it == 2L } })
        frostFleece.platform.faults("""{"table":{"mode":"down"},"objects":{"mode":"down"}}""")
        val seen = mutableListOf<List<Long>>()
        deployment.endpoints.forEach {
            it.sidecar.kill()
            deployment.startSidecar(it)
            seen += versions()
        }
        assertTrue(awaitTrue(10_000) { versions().all { it == 2L } }, "sidecars: ${versions()}")
        deployment.entries.forEach {
            it.process.kill()
            deployment.startEntry(it)
            assertTrue(awaitTrue(10_000) { versions().all { version -> version == 2L } }, "entries: ${versions()}")
        }
        assertTrue(seen.flatten().none { it == 1L }, "a process went back: $seen")
    }

    @Test
    fun `a frozen entry instance that wakes does not serve under the old configuration`() {
        val changed = Files.createTempFile("configuration", ".jsonc")
        val without = Files.readString(FrostFleece.CONFIGURATION).replace("frost-key-office", "x").replace(
            Regex("""\{ "salt": "s-head-office", "hash": "[0-9a-f]+" }"""),
            """{ "salt": "s", "hash": "${"0".repeat(64)}" }""",
        )
        Files.writeString(changed, without)
        val entry = deployment.entries[0]
        assertEquals(200, askAsOffice(entry.url))
        entry.process.freeze()
        val published = deployment.operate("publish", changed.toString(), "--platform", frostFleece.platform.url)
        assertEquals(0, published.exitCode, published.output)
        Thread.sleep(5000)
        val asked = CompletableFuture.supplyAsync { askAsOffice(entry.url) }
        Thread.sleep(500)
        entry.process.thaw()
        assertEquals(401, asked.get(), "the key was taken out before the entry instance woke")
        Files.delete(changed)
    }

    private fun askAsOffice(url: String): Int = LocalHttp.post(
        "$url/v1/chat/completions",
        """{"messages":[{"role":"user","content":"hi"}],"max_tokens":4}""",
        "Authorization",
        "Bearer frost-key-office",
    ).statusCode()

    private companion object {
        const val NOT_REACHED = -1L
        val json = Json { ignoreUnknownKeys = true }
    }
}
