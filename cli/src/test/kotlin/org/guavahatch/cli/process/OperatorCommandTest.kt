package org.guavahatch.cli.process

import com.sun.net.httpserver.HttpServer
import org.guavahatch.gateway.settings.RolloutSettings
import org.guavahatch.platform.standin.Deployment
import org.guavahatch.standins.launch.ManagedProcess
import java.net.InetSocketAddress
import java.nio.file.Files
import kotlin.io.path.createTempFile
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Starts the real commands, since faults in the reading of arguments do not show when a command is only called. */
class OperatorCommandTest {
    private class Outcome(val exitCode: Int, val output: String)

    private fun run(vararg arguments: String): Outcome {
        val log = createTempFile()
        val process = ManagedProcess.start("guavahatch", log, "org.guavahatch.cli.MainKt", arguments.toList())
        val hasExited = process.awaitExit(TIMEOUT_MILLISECONDS)
        if (!hasExited) process.kill()
        assertTrue(hasExited, "guavahatch ${arguments.toList()} does not end")
        return Outcome(process.awaitExitCode(), Files.readString(log))
    }

    private class Case(val urls: (port: Int) -> List<String>, val exitCode: Int, val output: List<String>)

    private val statusCases = listOf(
        Case({ listOf("http://127.0.0.1:$it") }, 0, listOf("entry-1  entry  ready")),
        Case({
            listOf("http://127.0.0.1:$it", "http://127.0.0.1:1")
        }, 3, listOf("entry-1", "127.0.0.1:1: not reached")),
        Case({ emptyList() }, 2, listOf("usage: guavahatch status")),
    )

    @Test
    fun `status reads its addresses instead of ending with an exception`() {
        val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)
        server.createContext("/status") { exchange ->
            exchange.sendResponseHeaders(200, STATUS.length.toLong())
            exchange.responseBody.use { it.write(STATUS.toByteArray()) }
        }
        server.start()
        try {
            statusCases.forEach { case ->
                val outcome = run("status", *case.urls(server.address.port).toTypedArray())
                assertEquals(case.exitCode, outcome.exitCode, outcome.output)
                assertFalse("Exception in" in outcome.output, outcome.output)
                case.output.forEach { assertTrue(it in outcome.output, outcome.output) }
            }
        } finally {
            server.stop(0)
        }
    }

    @Test
    fun `rollouts shows what a gateway carries out`() =
        Deployment(rollouts = RolloutSettings(0.1, 50, 5_000)).use { deployment ->
            deployment.configure(1)
            deployment.endpoint("i-1") { answer(200, "one") }
            val gateway = deployment.gateway()
            val control = gateway.settings.control
            assertTrue("no rollout" in run("rollouts", "--gateway", "http://$control").output)
            deployment.order("v2", 60.0)
            assertTrue(Deployment.until { "v2" in gateway.control("/rollouts") }, gateway.control("/rollouts"))
            val outcome = run("rollouts", "--gateway", control)
            assertEquals(0, outcome.exitCode, outcome.output)
            assertTrue("app  to v2  running" in outcome.output, outcome.output)
            assertEquals(3, run("rollouts", "--gateway", "127.0.0.1:1").exitCode)
        }

    private companion object {
        const val TIMEOUT_MILLISECONDS = 20_000L
        const val STATUS = """{"name":"entry-1","role":"entry","incarnation":"i","isReady":true,"configuration":1,
            "contentHash":"abc","requests":0,"peers":[]}"""
    }
}
