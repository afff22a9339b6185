package org.guavahatch.cli.process

import org.guavahatch.platform.standin.Deployment
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A gateway that cannot bind its address must exit; it used to stay running without serving requests. */
class GatewayStartTest {
    @Test
    fun `a gateway whose address is in use logs the failure and exits`() = Deployment().use { deployment ->
        val settings = deployment.settings("gateway-1", deployment.store.address)
        val launcher = GatewayLauncher(settings, Files.createTempDirectory("gateway-start"))
        val port = settings.callers.substringAfter(':').toInt()
        ServerSocket(port, 1, InetAddress.getByName("127.0.0.1")).use {
            val process = launcher.start()
            val hasExited = process.awaitExit(EXIT_TIMEOUT_MILLISECONDS)
            if (!hasExited) process.kill()
            assertTrue(hasExited, "The gateway is still running.")
            assertEquals(1, process.awaitExitCode())
            assertTrue(Files.readString(launcher.log).contains("process.failed"), "The log lacks process.failed.")
        }
    }

    private companion object {
        const val EXIT_TIMEOUT_MILLISECONDS = 15_000L
    }
}
