package org.guavahatch.cli.command

import arrow.core.Either
import arrow.core.right
import org.guavahatch.model.check.Problem
import org.guavahatch.model.configuration.ConfigurationDifference
import org.guavahatch.model.configuration.ConfigurationReader
import org.guavahatch.model.configuration.ConfigurationSet
import org.guavahatch.model.configuration.ObjectDifference
import org.guavahatch.model.finding.ConfigurationFindings
import org.guavahatch.model.finding.Finding
import org.guavahatch.model.finding.ForwardingFindings
import org.guavahatch.model.finding.InvalidEntry
import org.guavahatch.model.forwarding.ForwardingConfiguration
import org.guavahatch.model.forwarding.ForwardingDifference
import org.guavahatch.platform.PlatformConfiguration

/**
 * A configuration file that was checked.
 *
 * @property summary number of its objects by kind; empty if it could not be read
 * @property findings everything that was found in it
 * @property differencesFrom differences from the text of an older configuration, which is empty if there is none, or
 * why it cannot be read
 */
internal class CheckedConfiguration(
    val summary: String,
    val findings: List<Finding>,
    val differencesFrom: (older: String) -> Either<String, List<ObjectDifference>>,
)

/** A format of configuration files. */
internal interface ConfigurationFormat {
    /** Checks [text], which was read from [source]. */
    fun check(source: String, text: String): CheckedConfiguration
}

/** The format that this program publishes: JSON with comments. */
internal class PublishedFormat(private val nowMilliseconds: Long) : ConfigurationFormat {
    override fun check(source: String, text: String): CheckedConfiguration =
        ConfigurationReader.read(source, text).fold(
            { error -> unreadable(error.problems) },
            { set ->
                CheckedConfiguration(summary(set), ConfigurationFindings.find(set, nowMilliseconds)) { older ->
                    readOlder(older).map { ConfigurationDifference.between(it, set) }
                }
            },
        )

    /** Before the first publication there is no text, which stands for a configuration without objects. */
    private fun readOlder(text: String): Either<String, ConfigurationSet> = if (text.isEmpty()) {
        ConfigurationSet(emptyList(), emptyList(), emptyList(), emptyList()).right()
    } else {
        ConfigurationReader.read("the older version", text).mapLeft { "$it" }
    }

    private fun summary(set: ConfigurationSet): String = listOf(
        "${set.tiers.size} tiers",
        "${set.clientAccounts.size} client accounts",
        "${set.endpointPools.size} endpoint pools",
        "${set.routes.size} routes",
        "${set.drains.size} drains",
    ).joinToString()
}

/** The format that operators write to the store of the platform and that gateways read. */
internal class PlatformFormat(private val checks: ForwardingFindings) : ConfigurationFormat {
    override fun check(source: String, text: String): CheckedConfiguration = PlatformConfiguration.read(text).fold(
        { reason -> unreadable(listOf(Problem("$", source, reason.lineSequence().first()))) },
        { configuration ->
            CheckedConfiguration(summary(configuration), checks.find(configuration)) { older ->
                PlatformConfiguration.read(older).map { ForwardingDifference.between(it, configuration) }
            }
        },
    )

    private fun summary(configuration: ForwardingConfiguration): String =
        "version ${configuration.version}, ${configuration.routes.size} routes, ${configuration.accounts.size} accounts"
}

private fun unreadable(problems: List<Problem>) =
    CheckedConfiguration("", problems.map(::InvalidEntry)) { Either.Left("The file itself cannot be read.") }
