package org.guavahatch.cli.soak

import org.guavahatch.cli.process.BlackholeProxy
import org.guavahatch.cli.process.GatewayLauncher
import org.guavahatch.platform.standin.Deployment
import org.guavahatch.standins.launch.ManagedProcess
import java.nio.file.Path

/**
 * A gateway in a separate process. It reaches the store through [storeProxy] and [storeAccess], which no other gateway
 * uses, so that faults can be injected for one gateway.
 */
internal class SoakGateway(deployment: Deployment, val name: String, folder: Path) : AutoCloseable {
    val storeAccess = deployment.store.openListener()
    val storeProxy = BlackholeProxy(storeAccess.address.substringAfter(':').toInt())
    val settings = deployment.settings(name, "127.0.0.1:${storeProxy.listedPort}")
    private val launcher = GatewayLauncher(settings, folder)

    var process: ManagedProcess = launcher.start()
        private set

    /** Whether the process is running, or its exit code, for messages. */
    val state: String
        get() = "$name " + if (process.isRunning) "is running" else "exited with ${process.awaitExitCode()}"

    /** Restarts the process if it has ended. */
    fun ensureStarted() {
        if (!process.isRunning) start()
    }

    /** Waits for the end of a planned stop, kills the process if it takes too long, and restarts it. */
    fun restart() {
        if (process.isRunning) process.resumeProcess()
        if (!process.awaitExit(STOP_TIMEOUT_MILLISECONDS)) process.kill()
        start()
    }

    private fun start() {
        process = launcher.start()
    }

    override fun close() {
        if (process.isRunning) process.kill()
        storeProxy.close()
    }

    companion object {
        private const val STOP_TIMEOUT_MILLISECONDS = 9_000L
        val ROUTES = Deployment.ROUTES.replace("h.example", "127.0.0.1")
    }
}
