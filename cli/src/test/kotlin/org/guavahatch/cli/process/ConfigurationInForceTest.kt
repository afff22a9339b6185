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

/** Every process applies an accepted configuration within five seconds and never reverts to an older version. */
class ConfigurationInForceTest {
    private val frostFleece = FrostFleece()
    private val deployment = frostFleece.deployment

    @Serializable
    private data class Status(val configuration: Long)

    @AfterTest
    fun stop() = frostFleece.close()

    private fun adminUrls() = deployment.endpoints.map { it.adminUrl } + deployment.entries.map { it.adminUrl }

    private fun appliedVersions(): List<Long> = adminUrls().map { url ->
        try {
            json.decodeFromString<Status>(LocalHttp.get("$url/status").body()).configuration
        } catch (_: IOException) {
            UNREACHABLE
        }
    }

    private fun publish(comment: String, vararg options: String) = deployment.runOperatorCommand(
        "publish",
        FrostFleece.CONFIGURATION.toString(),
        "--platform",
        frostFleece.platform.url,
        "--comment",
        comment,
        *options,
    )

    @Test
    fun `every process applies a publication within five seconds`() {
        repeat(3) { round ->
            assertEquals(0, publish("round $round").exitCode)
            val expected = 2L + round
            assertTrue(awaitTrue(5000) { appliedVersions().all { it == expected } }, "after 5 s: ${appliedVersions()}")
        }
    }

    @Test
    fun `one of several concurrent publications is accepted and the others report a conflict`() {
        val results = List(4) {
            CompletableFuture.supplyAsync { publish("racer $it", "--expect", "1") }
        }.map { it.get() }
        assertEquals(1, results.count { it.exitCode == 0 }, results.joinToString { it.output })
        results.filter { it.exitCode != 0 }.forEach {
            assertEquals(1, it.exitCode, it.output)
            assertTrue("conflict: version 2" in it.output, it.output)
        }
        assertTrue(awaitTrue(5000) { appliedVersions().all { it == 2L } }, "after 5 s: ${appliedVersions()}")
    }

    @Test
    fun `the publish command determines the result itself when the response of the table service is lost`() {
        frostFleece.platform.setFaults("""{"table":{"mode":"answers-lost"}}""")
        val publication = CompletableFuture.supplyAsync { publish("lost answer", "--expect", "1") }
        Thread.sleep(12_000)
        frostFleece.platform.setFaults("{}")
        val result = publication.get()
        val history = deployment.runOperatorCommand("history", "--platform", frostFleece.platform.url).output
        val acceptedCount = history.lines().count { "lost answer" in it }
        assertEquals(if (result.exitCode == 0) 1 else 0, acceptedCount, result.output + history)
    }

    @Test
    fun `processes that restart while the store is down get the latest version from their peers`() {
        assertEquals(0, publish("before the outage").exitCode)
        assertTrue(awaitTrue(5000) { appliedVersions().all { it == 2L } })
        frostFleece.platform.setFaults("""{"table":{"mode":"down"},"objects":{"mode":"down"}}""")
        val observedVersions = mutableListOf<List<Long>>()
        deployment.endpoints.forEach {
            it.sidecar.kill()
            deployment.startSidecar(it)
            observedVersions += appliedVersions()
        }
        assertTrue(awaitTrue(10_000) { appliedVersions().all { it == 2L } }, "sidecars: ${appliedVersions()}")
        deployment.entries.forEach {
            it.process.kill()
            deployment.startEntry(it)
            val isApplied = awaitTrue(10_000) { appliedVersions().all { version -> version == 2L } }
            assertTrue(isApplied, "entry instances: ${appliedVersions()}")
        }
        assertTrue(observedVersions.flatten().none { it == 1L }, "a process reverted to version 1: $observedVersions")
    }

    @Test
    fun `a frozen entry instance does not apply the old configuration after it is resumed`() {
        val changedFile = Files.createTempFile("configuration", ".jsonc")
        val changedText = Files.readString(FrostFleece.CONFIGURATION).replace("frost-key-office", "x").replace(
            Regex("""\{ "salt": "s-head-office", "hash": "[0-9a-f]+" }"""),
            """{ "salt": "s", "hash": "${"0".repeat(64)}" }""",
        )
        Files.writeString(changedFile, changedText)
        val entry = deployment.entries[0]
        assertEquals(200, sendChatAsOffice(entry.url))
        entry.process.suspendProcess()
        val published = deployment.runOperatorCommand(
            "publish",
            changedFile.toString(),
            "--platform",
            frostFleece.platform.url,
        )
        assertEquals(0, published.exitCode, published.output)
        Thread.sleep(5000)
        val status = CompletableFuture.supplyAsync { sendChatAsOffice(entry.url) }
        Thread.sleep(500)
        entry.process.resumeProcess()
        assertEquals(401, status.get(), "the key was removed before the entry instance was resumed")
        Files.delete(changedFile)
    }

    private fun sendChatAsOffice(url: String): Int = LocalHttp.post(
        "$url/v1/chat/completions",
        """{"messages":[{"role":"user","content":"hi"}],"max_tokens":4}""",
        "Authorization",
        "Bearer frost-key-office",
    ).statusCode()

    private companion object {
        const val UNREACHABLE = -1L
        val json = Json { ignoreUnknownKeys = true }
    }
}
