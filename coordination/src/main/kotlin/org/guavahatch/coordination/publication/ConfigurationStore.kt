package org.guavahatch.coordination.publication

import arrow.core.Either
import kotlinx.serialization.json.Json
import org.guavahatch.coordination.store.ObjectStore
import org.guavahatch.coordination.store.PlatformError
import org.guavahatch.coordination.store.TableRow
import org.guavahatch.coordination.store.TableService
import org.guavahatch.model.configuration.ConfigurationVersion
import org.guavahatch.model.configuration.ContentHash

/**
 * The head row of the table service.
 *
 * @property publication publication that was accepted last
 * @property rowVersion version of the head row
 */
public data class ConfigurationHead(public val publication: Publication, public val rowVersion: Long)

/** Reads accepted configurations: one head row, one history row per version, and texts stored under their hashes. */
public class ConfigurationStore(private val table: TableService, private val objects: ObjectStore) {
    /** Returns the head, or null if nothing has been published yet. */
    public suspend fun head(): Either<PlatformError, ConfigurationHead?> =
        table.read(HEAD_KEY).map { row -> row?.let { ConfigurationHead(decode(it), it.version) } }

    /** Returns the publication with version [number], or null if there is none. */
    public suspend fun publication(number: Long): Either<PlatformError, Publication?> =
        table.read(historyKey(number)).map { row -> row?.let(::decode) }

    /** Returns all accepted publications, oldest first. */
    public suspend fun history(): Either<PlatformError, List<Publication>> =
        table.list(HISTORY_PREFIX).map { rows -> rows.map(::decode) }

    /** Returns the text of [version], or null if it does not exist or its hash differs from the hash in [version]. */
    public suspend fun text(version: ConfigurationVersion): Either<PlatformError, String?> =
        objects.get(contentKey(version.contentHash))
            .map { text -> text?.takeIf { ContentHash.of(it) == version.contentHash } }

    private fun decode(row: TableRow): Publication = json.decodeFromString(Publication.serializer(), row.value)

    internal companion object {
        const val HEAD_KEY = "configuration/head"
        const val HISTORY_PREFIX = "configuration/history/"
        private const val NUMBER_DIGITS = 12
        private val json = Json { ignoreUnknownKeys = true }

        fun historyKey(number: Long): String = HISTORY_PREFIX + number.toString().padStart(NUMBER_DIGITS, '0')

        fun contentKey(hash: String): String = "configurations/$hash"

        fun encode(publication: Publication): String = json.encodeToString(Publication.serializer(), publication)
    }
}
