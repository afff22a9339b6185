package org.guavahatch.cli.command

import org.kohsuke.args4j.Argument

/** Publishes the content of an earlier version as a new version. */
internal class RollbackCommand : PublishingCommand() {
    @Argument(required = true, metaVar = "NUMBER", usage = "version whose content is to be in force again")
    private var number: Long = 0

    override suspend fun run(platform: PlatformAccess): Int = whenAvailable(platform.store.head()) { head ->
        whenAvailable(platform.store.publication(number)) { earlier ->
            if (head == null || earlier == null) {
                System.err.println("guavahatch: There is no version $number.")
                Command.EXIT_USAGE
            } else {
                whenAvailable(platform.store.text(earlier.version)) { text ->
                    val comment = "rollback to ${earlier.version}"
                    publish(platform, "version $number", text.orEmpty(), head.publication.version, comment)
                }
            }
        }
    }
}
