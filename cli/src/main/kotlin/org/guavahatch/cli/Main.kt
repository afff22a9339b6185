package org.guavahatch.cli

import org.guavahatch.cli.command.Command
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import kotlin.system.exitProcess

/** Runs the command that the first argument names. */
fun main(arguments: Array<String>) {
    val name = arguments.firstOrNull()
    val command = Commands.create(name.orEmpty()) ?: usage(name)
    val parser = CmdLineParser(command)
    try {
        parser.parseArgument(arguments.drop(1))
    } catch (exception: CmdLineException) {
        System.err.println("guavahatch $name: ${exception.message}")
        System.err.println("usage: guavahatch $name [options]")
        parser.printUsage(System.err)
        exitProcess(Command.EXIT_USAGE)
    }
    exitProcess(command.run())
}

private fun usage(name: String?): Nothing {
    if (name != null && name != "help") System.err.println("guavahatch: Unknown command '$name'.")
    System.err.println("usage: guavahatch COMMAND [options]; guavahatch COMMAND --help lists the options")
    Commands.summaries.forEach { (command, summary) -> System.err.println("  ${command.padEnd(NAME_WIDTH)} $summary") }
    exitProcess(if (name == "help") 0 else Command.EXIT_USAGE)
}

private const val NAME_WIDTH = 12
