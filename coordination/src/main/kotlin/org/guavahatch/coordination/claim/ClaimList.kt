package org.guavahatch.coordination.claim

import arrow.core.Either
import kotlinx.serialization.json.Json
import org.guavahatch.coordination.store.PlatformError
import org.guavahatch.coordination.store.TableService

/**
 * A claim as operators see it.
 *
 * @property rowKey key of its row
 * @property claim the claim
 */
public data class ListedClaim(public val rowKey: String, public val claim: ClaimRow)

/** Lists claims for operators. */
public class ClaimList(private val table: TableService) {
    private val json = Json { ignoreUnknownKeys = true }

    /** Claims without an outcome, older ones first. */
    public suspend fun withoutOutcome(): Either<PlatformError, List<ListedClaim>> =
        table.list(ClaimKey.CLAIM_PREFIX).map { rows ->
            rows.map { ListedClaim(it.key, json.decodeFromString<ClaimRow>(it.value)) }
                .filter { it.claim.answer == null }
                .sortedBy { it.claim.claimedAtMilliseconds }
        }
}
