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

/** A stand-in that can be started from the command line. */
internal interface StandIn {
    /** Serves until the process is ended. */
    fun run()
}

/**
 * Starts what the first argument names: `engine`, `application`, `platform`, `demo`, `overhead` or
 * `capacity`.
 */
fun main(arguments: Array<String>) {
    val standIn: StandIn = when (arguments.firstOrNull()) {
        "engine" -> EngineMain()
        "application" -> ApplicationMain()
        "platform" -> PlatformMain()
        "demo" -> DemoMain()
        "overhead" -> OverheadMain()
        "capacity" -> CapacityMain()
        else -> usage("Allowed are: engine, application, platform, demo, overhead, capacity.")
    }
    try {
        CmdLineParser(standIn).parseArgument(arguments.drop(1))
    } catch (exception: CmdLineException) {
        usage(exception.message.orEmpty())
    }
    standIn.run()
}

private fun usage(message: String): Nothing {
    System.err.println("guavahatch-standins: $message")
    exitProcess(EXIT_USAGE)
}
