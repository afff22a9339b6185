package org.guavahatch.cli.command

import org.guavahatch.coordination.claim.ClaimList
import java.time.Instant

/** Lists claims that have no outcome: requests of which it is not known whether they ran, or that are running. */
internal class ClaimsCommand : PlatformCommand() {
    override suspend fun run(platform: PlatformAccess): Int =
        whenAvailable(ClaimList(platform.table).withoutOutcome()) { claims ->
            claims.forEach {
                val since = Instant.ofEpochMilli(it.claim.claimedAtMilliseconds)
                println("${it.rowKey}  since $since  attempt ${it.claim.attempt}")
            }
            println("${claims.size} claims without an outcome")
            Command.EXIT_OK
        }
}
