package org.guavahatch.cli.process

import kotlinx.serialization.json.Json
import org.guavahatch.gateway.settings.GatewaySettings
import org.guavahatch.standins.launch.ManagedProcess
import java.nio.file.Files
import java.nio.file.Path

/** Starts a gateway with [settings] as a separate process. Its settings file and log are in [folder]. */
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
        return ManagedProcess.start(settings.name, log, "org.guavahatch.daemon.MainKt", arguments, options)
    }
}
