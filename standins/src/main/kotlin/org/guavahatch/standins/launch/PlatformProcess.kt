package org.guavahatch.standins.launch

import java.nio.file.Path

/**
 * Running stand-in of the platform.
 *
 * @property port port on the loopback address
 */
class PlatformProcess private constructor(private val process: ManagedProcess, val port: Int) : AutoCloseable {
    /** Base URL of the services of the platform. */
    val url: String get() = "http://127.0.0.1:$port"

    /** Replaces the faults of the services with the JSON [document]; a service that it leaves out has no fault. */
    fun setFaults(document: String) {
        LocalHttp.put("$url/faults", document)
    }

    override fun close() {
        process.kill()
    }

    companion object {
        /** Starts a stand-in whose instance list is [listLagMilliseconds] old; its log is written to [directory]. */
        fun start(directory: Path, listLagMilliseconds: Long = 500): PlatformProcess {
            val port = FreePorts.next()
            val arguments = listOf(
                "platform",
                "--port",
                port.toString(),
                "--list-lag-milliseconds",
                listLagMilliseconds.toString(),
            )
            val process =
                ManagedProcess.start("platform", directory.resolve("platform.log"), STAND_IN_MAIN_CLASS, arguments)
            LocalHttp.awaitOk("http://127.0.0.1:$port/statistics", START_TIMEOUT_MILLISECONDS)
            return PlatformProcess(process, port)
        }
    }
}

internal const val STAND_IN_MAIN_CLASS = "org.guavahatch.standins.MainKt"
internal const val DAEMON_MAIN_CLASS = "org.guavahatch.daemon.MainKt"
internal const val OPERATOR_MAIN_CLASS = "org.guavahatch.cli.MainKt"
internal const val START_TIMEOUT_MILLISECONDS = 30_000L
