package org.guavahatch.cli.command

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.guavahatch.model.finding.ForwardingFindings
import org.guavahatch.model.time.SystemClock
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option

/**
 * Checks a configuration file before it is sent: errors, entries that never take effect, limits that contradict each
 * other, and what differs from the version in force.
 *
 * The exit code is 0 without findings, 1 with warnings only, 2 with errors, 3 if the version in force cannot be read.
 */
internal class CheckCommand : Command {
    @Argument(required = true, metaVar = "FILE", usage = "configuration file")
    private var file: String = ""

    @Option(name = "--format", metaVar = "NAME", usage = "published (default) or platform, as gateways read it")
    private var format: String = PUBLISHED

    @Option(name = "--against", metaVar = "FILE", usage = "file to compare with", forbids = ["--platform", "--gateway"])
    private var olderFile: String? = null

    @Option(name = "--platform", metaVar = "URL", usage = "compare with the latest version there")
    private var platformUrl: String? = null

    @Option(name = "--gateway", metaVar = "ADDRESS", usage = "compare with the version in force at a gateway")
    private var gateway: String? = null

    @Option(name = "--retries", metaVar = "NUMBER", usage = "retry budget of the gateways for each request")
    private var retriesPerRequest: Double? = null

    @Option(name = "--buffer", metaVar = "BYTES", usage = "bytes of request bodies that a gateway buffers")
    private var bufferedBodyBytes: Long? = null

    @Option(name = "--json", usage = "print one JSON object")
    private var isJson: Boolean = false

    override fun run(): Int {
        val text = ConfigurationFile.read(file) ?: return Command.EXIT_USAGE
        val checks = when (format) {
            PUBLISHED -> PublishedFormat(SystemClock.wallMilliseconds())
            PLATFORM -> PlatformFormat(ForwardingFindings(retriesPerRequest, bufferedBodyBytes))
            else -> return fail("Unknown format '$format'. Known formats: $PUBLISHED, $PLATFORM.", Command.EXIT_USAGE)
        }
        val checked = checks.check(file, text)
        val isReadable = checked.summary.isNotEmpty()
        val older = (if (isReadable) olderText() else null) ?: return print(CheckReport.of(file, checked, null))
        return older.flatMap(checked.differencesFrom).fold(
            { reason ->
                print(CheckReport.of(file, checked, null))
                fail(reason, Command.EXIT_UNAVAILABLE)
            },
            { differences -> print(CheckReport.of(file, checked, differences)) },
        )
    }

    /** Text of the configuration to compare with, or null if none was asked for. */
    private fun olderText(): Either<String, String>? {
        olderFile?.let { older ->
            return ConfigurationFile.read(older)?.right() ?: "The file '$older' cannot be read.".left()
        }
        platformUrl?.let { return ConfigurationInForce.ofPlatform(it) }
        return gateway?.let(ConfigurationInForce::ofGateway)
    }

    private fun print(report: CheckReport): Int {
        val text = if (isJson) report.json() else report.text()
        if (report.exitCode == Command.EXIT_USAGE && !isJson) System.err.println(text) else println(text)
        return report.exitCode
    }

    private fun fail(reason: String, exitCode: Int): Int {
        System.err.println("guavahatch: $reason")
        return exitCode
    }

    private companion object {
        const val PUBLISHED = "published"
        const val PLATFORM = "platform"
    }
}
