package org.guavahatch.daemon

import arrow.core.Either
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.KSerializer
import org.guavahatch.daemon.entry.EntryProcess
import org.guavahatch.daemon.settings.CheckedSettings
import org.guavahatch.daemon.settings.EntrySettings
import org.guavahatch.daemon.settings.SettingsFile
import org.guavahatch.daemon.settings.SidecarSettings
import org.guavahatch.daemon.sidecar.SidecarProcess
import org.guavahatch.model.identity.Incarnation
import org.guavahatch.model.time.SystemClock
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import java.nio.file.Path
import java.util.UUID
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

private const val EXIT_USAGE = 2

/** Runs an entry instance, a sidecar or a gateway until the process is told to stop. */
fun main(arguments: Array<String>) {
    // Ktor must not stop its servers at SIGTERM: requests in flight are finished first.
    System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    val parsed = parse(arguments)
    when (parsed.role) {
        DaemonRole.entry -> runEntry(parsed)
        DaemonRole.sidecar -> runSidecar(parsed)
        DaemonRole.gateway -> GatewayMain.run(parsed)
        null -> exitProcess(EXIT_USAGE)
    }
}

private fun parse(arguments: Array<String>): DaemonArguments {
    val parsed = DaemonArguments()
    val parser = CmdLineParser(parsed)
    try {
        parser.parseArgument(*arguments)
    } catch (exception: CmdLineException) {
        System.err.println("guavahatchd: ${exception.message}")
        System.err.println(
            "usage: guavahatchd ROLE --settings FILE [--check | --rehearse]; ROLE is entry, sidecar or gateway",
        )
        exitProcess(EXIT_USAGE)
    }
    return parsed
}

private fun runEntry(arguments: DaemonArguments) {
    val settings = read(arguments, EntrySettings.serializer())
    val process = EntryProcess(settings, newIncarnation(settings.name), SystemClock)
    runUntilStopped(process::start, process::stop)
}

private fun runSidecar(arguments: DaemonArguments) {
    val settings = read(arguments, SidecarSettings.serializer())
    val process = SidecarProcess(settings, newIncarnation(settings.name), SystemClock)
    runUntilStopped(process::start, process::stop)
}

private fun <T : CheckedSettings> read(arguments: DaemonArguments, serializer: KSerializer<T>): T =
    when (val read = SettingsFile.read(Path.of(arguments.settings), serializer)) {
        is Either.Left -> {
            System.err.println(read.value)
            exitProcess(EXIT_USAGE)
        }
        is Either.Right -> {
            if (arguments.isCheckOnly) exitProcess(0)
            read.value
        }
    }

private fun newIncarnation(name: String): Incarnation {
    val random = UUID.randomUUID().toString().replace("-", "").take(INCARNATION_DIGITS)
    return Incarnation("$name.$random")
}

private fun runUntilStopped(start: suspend () -> Unit, stop: suspend () -> Unit) {
    val stopped = CountDownLatch(1)
    runBlocking { start() }
    Runtime.getRuntime().addShutdownHook(
        Thread {
            runBlocking { stop() }
            stopped.countDown()
        },
    )
    stopped.await()
}

private const val INCARNATION_DIGITS = 16
