package org.guavahatch.standins

import org.guavahatch.standins.application.ApplicationMain
import org.guavahatch.standins.engine.EngineMain
import org.guavahatch.standins.launch.CapacityMain
import org.guavahatch.standins.launch.DemoMain
import org.guavahatch.standins.launch.OverheadMain
import org.guavahatch.standins.platform.PlatformMain
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import kotlin.system.exitProcess

private const val EXIT_USAGE = 2

/** A subcommand of the command line. */
internal interface Subcommand {
    /** Runs the subcommand. The servers among them run until the process is stopped. */
    fun run()
}

/**
 * Runs the subcommand that the first argument names. `engine`, `application` and `platform` start stand-ins:
 * servers that simulate the systems around the gateway. `demo`, `overhead` and `capacity` start whole deployments
 * with them.
 */
fun main(arguments: Array<String>) {
    val subcommand: Subcommand = when (arguments.firstOrNull()) {
        "engine" -> EngineMain()
        "application" -> ApplicationMain()
        "platform" -> PlatformMain()
        "demo" -> DemoMain()
        "overhead" -> OverheadMain()
        "capacity" -> CapacityMain()
        else -> usage("Allowed are: engine, application, platform, demo, overhead, capacity.")
    }
    try {
        CmdLineParser(subcommand).parseArgument(arguments.drop(1))
    } catch (exception: CmdLineException) {
        usage(exception.message.orEmpty())
    }
    subcommand.run()
}

private fun usage(message: String): Nothing {
    System.err.println("guavahatch-standins: $message")
    exitProcess(EXIT_USAGE)
}
