package org.guavahatch.cli.process

import kotlinx.serialization.json.Json
import org.guavahatch.gateway.settings.GatewaySettings
import org.guavahatch.standins.launch.ManagedProcess
import java.nio.file.Files
import java.nio.file.Path

/**
 * Starts a gateway with [settings] as a separate process. Its settings file and log are in [folder].
 *
 * `-Dgateway.jar=FILE` starts the gateway of that jar, for example of an earlier commit, not the code under test.
 */
internal class GatewayLauncher(private val settings: GatewaySettings, folder: Path) {
    private val file = folder.resolve("${settings.name}.jsonc")
    val log: Path = folder.resolve("${settings.name}.log")

    init {
        Files.writeString(file, Json.encodeToString(GatewaySettings.serializer(), settings))
    }

    fun start(): ManagedProcess {
        val arguments = listOf("gateway", "--settings", file.toString())
        // On the class path of the tests, the log settings of the command line take precedence and omit decisions.
        val options = ManagedProcess.SMALL_JVM_OPTIONS + "-Dtinylog.level=info"
        val classPath = System.getProperty("gateway.jar") ?: System.getProperty("java.class.path")
        return ManagedProcess.start(settings.name, log, MAIN_CLASS, arguments, options, classPath)
    }

    private companion object {
        const val MAIN_CLASS = "org.guavahatch.daemon.MainKt"
    }
}
