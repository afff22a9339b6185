package org.guavahatch.cli.process

import org.guavahatch.platform.standin.Deployment
import org.guavahatch.standins.launch.ManagedProcess
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.createTempFile
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Starts the real command, so that its options, output and exit codes are those that a script meets. */
class CheckCommandTest {
    private class Outcome(val exitCode: Int, val output: String)

    private class Case(val name: String, val arguments: List<String>, val exitCode: Int, val output: List<String>)

    private fun run(arguments: List<String>): Outcome {
        val log = createTempFile()
        val process = ManagedProcess.start("guavahatch", log, "org.guavahatch.cli.MainKt", listOf("check") + arguments)
        assertTrue(process.awaitExit(TIMEOUT_MILLISECONDS), "guavahatch check $arguments does not end")
        return Outcome(process.awaitExitCode(), Files.readString(log))
    }

    private fun file(text: String): String = createTempFile().also { Files.writeString(it, text) }.toString()

    private val published = file(
        """{
          // One of each object.
          "tiers": [{ "name": "desk", "rank": 0 }],
          "clientAccounts": [{ "name": "shop", "highestTier": "desk", "keys": [{ "salt": "s", "hash": "$HASH" }] }],
          "endpointPools": [{ "name": "engines", "kind": "model", "zones": ["a"] }],
          "routes": [{ "name": "chat", "pathPrefix": "/chat", "methods": ["POST"], "pool": "engines",
            "dispatch": "resumable", "defaultTier": "desk" }]
        }""",
    )
    private val wrongReference =
        file(Files.readString(Path.of(published)).replace("\"pool\": \"engines\"", "\"pool\": \"engine\""))
    private val older = file(platformText("6000"))
    private val newer = file(platformText("500"))

    private fun platformText(timeout: String) =
        """{"version":7,"routes":[{"name":"r-1","host":"a.example","prefix":"/a/","kind":"safe","timeout_ms":$timeout,
          "target_latency_ms":600,"service":"app"}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
          "header_timeout_ms":3000,"idle_timeout_ms":15000}}"""

    private val cases = listOf(
        Case("a valid file", listOf(published), 0, listOf("1 routes, 0 drains: valid")),
        Case(
            "an error, with what is allowed",
            listOf(wrongReference),
            2,
            listOf("error: $.routes[0].pool", "Known names: engines", "not valid"),
        ),
        Case("the same file as before", listOf(published, "--against", published), 0, listOf("no difference")),
        Case(
            "contradicting limits and a difference",
            listOf(newer, "--format", "platform", "--against", older),
            1,
            listOf("warning: $.routes[0].timeoutMilliseconds", "~ routes/r-1", "valid, 1 warnings"),
        ),
        Case(
            "the same for scripts",
            listOf(newer, "--format", "platform", "--json"),
            1,
            listOf("\"kind\": \"TimeoutBelowObjective\"", "\"severity\": \"warning\""),
        ),
        Case(
            "a gateway that is not there",
            listOf(older, "--format", "platform", "--gateway", "127.0.0.1:1"),
            3,
            listOf("GET http://127.0.0.1:1/configuration"),
        ),
        Case("an unknown format", listOf(older, "--format", "yaml"), 2, listOf("Unknown format 'yaml'")),
    )

    @Test
    fun `check tells errors, warnings and differences by text and exit code`() = cases.forEach { case ->
        val outcome = run(case.arguments)
        assertEquals(case.exitCode, outcome.exitCode, "${case.name}: ${outcome.output}")
        case.output.forEach { assertTrue(it in outcome.output, "${case.name}: ${outcome.output}") }
    }

    @Test
    fun `check compares with the configuration that a gateway has in force`() = Deployment().use { deployment ->
        deployment.configure(1)
        val gateway = deployment.gateway()
        assertTrue(Deployment.until { "version" in gateway.control("/configuration") })
        val outcome = run(listOf(older, "--format", "platform", "--gateway", gateway.settings.control))
        assertEquals(0, outcome.exitCode, outcome.output)
        assertTrue("routes/r-1" in outcome.output, outcome.output)
    }

    private companion object {
        const val TIMEOUT_MILLISECONDS = 20_000L
        const val HASH = "1001496358a43fd5c5e2a07dd41a67ae8851e5579931d048fbc31d24e9c90a02"
    }
}
