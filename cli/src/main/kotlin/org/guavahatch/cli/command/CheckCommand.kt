package org.guavahatch.cli.command

import org.guavahatch.model.configuration.ConfigurationReader
import org.guavahatch.model.configuration.ConfigurationSet
import org.kohsuke.args4j.Argument

/** Validates a configuration file locally, without access to the platform. */
internal class CheckCommand : Command {
    @Argument(required = true, metaVar = "FILE", usage = "configuration file, JSON with comments")
    private var file: String = ""

    override fun run(): Int {
        val text = ConfigurationFile.read(file) ?: return Command.EXIT_USAGE
        return ConfigurationReader.read(file, text).fold(
            { error ->
                System.err.println(error)
                Command.EXIT_USAGE
            },
            { set ->
                println("$file: ${summary(set)}: valid")
                Command.EXIT_OK
            },
        )
    }

    private fun summary(set: ConfigurationSet): String = listOf(
        "${set.tiers.size} tiers",
        "${set.clientAccounts.size} client accounts",
        "${set.endpointPools.size} endpoint pools",
        "${set.routes.size} routes",
        "${set.drains.size} drains",
    ).joinToString()
}
