package org.guavahatch.standins.launch

import java.nio.file.Path

/** A running stand-in of the platform. */
class PlatformProcess private constructor(private val process: ManagedProcess, val port: Int) : AutoCloseable {
    /** Address of the platform's services. */
    val url: String get() = "http://127.0.0.1:$port"

    /** Sets the faults of the services, as JSON; services that are not named work. */
    fun faults(document: String) {
        LocalHttp.put("$url/faults", document)
    }

    override fun close() {
        process.kill()
    }

    companion object {
        /** Starts a stand-in whose instance list lags by [listLagMilliseconds]; its log goes to [directory]. */
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
                ManagedProcess.start("platform", directory.resolve("platform.log"), STAND_IN_MAIN, arguments)
            LocalHttp.awaitOk("http://127.0.0.1:$port/statistics", START_MILLISECONDS)
            return PlatformProcess(process, port)
        }
    }
}

internal const val STAND_IN_MAIN = "org.guavahatch.standins.MainKt"
internal const val DAEMON_MAIN = "org.guavahatch.daemon.MainKt"
internal const val OPERATOR_MAIN = "org.guavahatch.cli.MainKt"
internal const val START_MILLISECONDS = 30_000L
