package org.guavahatch.cli.command

import java.time.Instant

/** Lists the accepted configurations with time, publisher and comment. */
internal class HistoryCommand : PlatformCommand() {
    override suspend fun run(platform: PlatformServices): Int =
        whenAvailable(platform.store.history()) { publications ->
            publications.forEach {
                println("${it.version}  ${Instant.ofEpochMilli(it.atMilliseconds)}  ${it.publisher}  ${it.comment}")
            }
            Command.EXIT_OK
        }
}
