package org.guavahatch.coordination.claim

import arrow.core.Either
import kotlinx.serialization.json.Json
import org.guavahatch.coordination.store.PlatformError
import org.guavahatch.coordination.store.TableService

/**
 * A claim with the key of its row.
 *
 * @property rowKey key of the row in the table service
 * @property claim stored value of the row
 */
public data class ListedClaim(public val rowKey: String, public val claim: ClaimRow)

/** Lists claims for operators. */
public class ClaimList(private val table: TableService) {
    private val json = Json { ignoreUnknownKeys = true }

    /** Returns the claims without a recorded response, oldest first. */
    public suspend fun withoutOutcome(): Either<PlatformError, List<ListedClaim>> =
        table.list(ClaimKey.CLAIM_PREFIX).map { rows ->
            rows.map { ListedClaim(it.key, json.decodeFromString<ClaimRow>(it.value)) }
                .filter { it.claim.answer == null }
                .sortedBy { it.claim.claimedAtMilliseconds }
        }
}
