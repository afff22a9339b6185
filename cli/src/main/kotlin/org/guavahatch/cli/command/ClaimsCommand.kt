package org.guavahatch.cli.command

import org.guavahatch.coordination.claim.ClaimList
import java.time.Instant

/** Lists claims without an outcome: their requests are still running, or it is unknown whether they ran. */
internal class ClaimsCommand : PlatformCommand() {
    override suspend fun run(platform: PlatformServices): Int =
        whenAvailable(ClaimList(platform.table).withoutOutcome()) { claims ->
            claims.forEach {
                val since = Instant.ofEpochMilli(it.claim.claimedAtMilliseconds)
                println("${it.rowKey}  since $since  attempt ${it.claim.attempt}")
            }
            println("${claims.size} claims without an outcome")
            Command.EXIT_OK
        }
}
