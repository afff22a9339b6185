package org.guavahatch.coordination.publication

import arrow.core.Either
import arrow.core.getOrElse
import kotlinx.coroutines.delay
import org.guavahatch.coordination.store.ConditionalWrite
import org.guavahatch.coordination.store.ObjectStore
import org.guavahatch.coordination.store.PlatformError
import org.guavahatch.coordination.store.RowCondition
import org.guavahatch.coordination.store.TableService
import org.guavahatch.coordination.store.TransactionResult
import org.guavahatch.model.configuration.ConfigurationDifference
import org.guavahatch.model.configuration.ConfigurationReader
import org.guavahatch.model.configuration.ConfigurationSet
import org.guavahatch.model.configuration.ConfigurationVersion
import org.guavahatch.model.configuration.ContentHash
import org.guavahatch.model.time.Clock

/**
 * A request to publish a configuration.
 *
 * @property source source of the text, for error messages
 * @property text configuration set as text
 * @property base version that the text is based on; [ConfigurationVersion.NONE] for the first publication
 * @property publicationId unique ID of the publication; a repeated request has the same ID
 * @property publisher name of the publisher
 * @property comment reason for the publication
 */
public data class PublicationRequest(
    public val source: String,
    public val text: String,
    public val base: ConfigurationVersion,
    public val publicationId: String,
    public val publisher: String,
    public val comment: String,
)

/**
 * Publishes configuration sets. The text is stored in the object store under its hash; then one transaction moves the
 * head from the base version and adds the history row. A repeated transaction cannot apply twice, because the version
 * of the head row has changed, so a call without a response is repeated.
 *
 * @property retryTimeoutMilliseconds how long calls that fail or get no response are repeated, default 30 000; after
 * that the result is [PublicationResult.Unknown] if a write may have taken effect, otherwise
 * [PublicationResult.NotPublished]
 */
public class ConfigurationPublisher(
    private val table: TableService,
    private val objects: ObjectStore,
    private val clock: Clock,
    private val retryTimeoutMilliseconds: Long = DEFAULT_RETRY_TIMEOUT_MILLISECONDS,
) {
    private val store = ConfigurationStore(table, objects)

    /** Validates and publishes [request]. */
    public suspend fun publish(request: PublicationRequest): PublicationResult {
        ConfigurationReader.read(request.source, request.text).onLeft { return PublicationResult.Invalid(it) }
        val number = request.base.number + 1
        val publication = Publication(
            version = ConfigurationVersion(number, ContentHash.of(request.text)),
            publicationId = request.publicationId,
            publisher = request.publisher,
            comment = request.comment,
            atMilliseconds = clock.wallMilliseconds(),
        )
        objects.putIfAbsent(ConfigurationStore.contentKey(publication.version.contentHash), request.text)
            .onLeft { return PublicationResult.NotPublished(it) }
        return moveHead(request, publication)
    }

    private suspend fun moveHead(request: PublicationRequest, publication: Publication): PublicationResult {
        val deadline = clock.monotonicMilliseconds() + retryTimeoutMilliseconds
        var mayHaveApplied = false
        while (true) {
            val error = when (val attempt = tryMoveHead(request, publication)) {
                is Either.Right -> return attempt.value
                is Either.Left -> attempt.value
            }
            mayHaveApplied = mayHaveApplied || error is PlatformError.Uncertain
            if (clock.monotonicMilliseconds() >= deadline) {
                return when {
                    mayHaveApplied -> PublicationResult.Unknown(request.publicationId, error)
                    else -> PublicationResult.NotPublished(error)
                }
            }
            delay(RETRY_DELAY_MILLISECONDS)
        }
    }

    private suspend fun tryMoveHead(
        request: PublicationRequest,
        publication: Publication,
    ): Either<PlatformError, PublicationResult> {
        val read = store.head()
        val head = read.getOrElse { return Either.Left(it) }
        val number = head?.publication?.version?.number ?: 0
        if (number != request.base.number) return resultOfMovedHead(request, publication, head)
        return table.transact(headWrites(head, publication)).map { result ->
            // A rejection means that the head has moved; the next call finds out which publication moved it.
            if (result == TransactionResult.Applied) PublicationResult.Accepted(publication) else null
        }.let { moved ->
            when (moved) {
                is Either.Left -> moved
                is Either.Right -> moved.value?.let { Either.Right(it) } ?: tryMoveHead(request, publication)
            }
        }
    }

    private fun headWrites(head: ConfigurationHead?, publication: Publication): List<ConditionalWrite> {
        val condition = head?.let { RowCondition.VersionIs(it.rowVersion) } ?: RowCondition.Absent
        val value = ConfigurationStore.encode(publication)
        return listOf(
            ConditionalWrite(ConfigurationStore.HEAD_KEY, value, condition),
            ConditionalWrite(
                ConfigurationStore.historyKey(publication.version.number),
                value,
                RowCondition.Absent,
            ),
        )
    }

    /** Handles a head that is not at the base version: this publication or another one has moved it. */
    private suspend fun resultOfMovedHead(
        request: PublicationRequest,
        publication: Publication,
        head: ConfigurationHead?,
    ): Either<PlatformError, PublicationResult> = store.publication(publication.version.number).map { accepted ->
        when (accepted?.publicationId) {
            request.publicationId -> PublicationResult.Accepted(accepted)
            else -> conflict(request, head ?: ConfigurationHead(NO_PUBLICATION, 0))
        }
    }

    private suspend fun conflict(request: PublicationRequest, head: ConfigurationHead): PublicationResult {
        val current = head.publication
        val differences = ConfigurationDifference.between(readSetOrEmpty(request.base), readSetOrEmpty(current.version))
        return PublicationResult.Conflict(current, differences)
    }

    private suspend fun readSetOrEmpty(version: ConfigurationVersion): ConfigurationSet =
        store.text(version).getOrNull()
            ?.let { ConfigurationReader.read(version.toString(), it).getOrNull() }
            ?: ConfigurationSet(emptyList(), emptyList(), emptyList(), emptyList())

    private companion object {
        const val DEFAULT_RETRY_TIMEOUT_MILLISECONDS = 30_000L
        const val RETRY_DELAY_MILLISECONDS = 250L
        val NO_PUBLICATION = Publication(ConfigurationVersion.NONE, "", "", "", 0)
    }
}
