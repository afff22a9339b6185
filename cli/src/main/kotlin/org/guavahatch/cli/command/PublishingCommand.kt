package org.guavahatch.cli.command

import org.guavahatch.coordination.publication.PublicationRequest
import org.guavahatch.coordination.publication.PublicationResult
import org.guavahatch.model.configuration.ConfigurationVersion
import org.kohsuke.args4j.Option
import java.util.UUID

/** Command that publishes a configuration. */
internal abstract class PublishingCommand : PlatformCommand() {
    @Option(name = "--publisher", metaVar = "NAME", usage = "name of the publisher, default the user's name")
    private var publisher: String = System.getProperty("user.name").orEmpty()

    @Option(name = "--comment", metaVar = "TEXT", usage = "reason for the history")
    private var comment: String = ""

    @Option(name = "--publication-id", metaVar = "ID", usage = "id of an earlier attempt with an unknown result")
    private var publicationId: String = UUID.randomUUID().toString()

    /** Publishes [text], which is based on version [base], and prints the result; returns the exit code. */
    protected suspend fun publish(
        platform: PlatformServices,
        source: String,
        text: String,
        base: ConfigurationVersion,
        defaultComment: String = "",
    ): Int {
        val reason = comment.ifEmpty { defaultComment }
        val request = PublicationRequest(source, text, base, publicationId, publisher, reason)
        return reportResult(platform.publisher.publish(request))
    }

    private fun reportResult(result: PublicationResult): Int = when (result) {
        is PublicationResult.Accepted -> {
            println("accepted: version ${result.publication.version}")
            Command.EXIT_OK
        }
        is PublicationResult.Conflict -> {
            val head = result.head
            System.err.println("conflict: version ${head.version} was published by ${head.publisher}: ${head.comment}")
            result.differences.forEach { System.err.println("  $it") }
            Command.EXIT_REFUSED
        }
        is PublicationResult.Invalid -> {
            System.err.println(result.error)
            Command.EXIT_USAGE
        }
        is PublicationResult.NotPublished -> {
            System.err.println("not published: ${result.error.step} at ${result.error.peer}: ${result.error.detail}")
            Command.EXIT_UNAVAILABLE
        }
        is PublicationResult.Unknown -> {
            System.err.println(
                "unknown: ${result.error.detail} Repeat the command with --publication-id ${result.publicationId}.",
            )
            Command.EXIT_UNKNOWN
        }
    }
}
