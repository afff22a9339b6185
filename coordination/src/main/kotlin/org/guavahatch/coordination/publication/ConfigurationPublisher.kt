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
 * What is to be published.
 *
 * @property source origin of the text, for messages
 * @property text the configuration set, as text
 * @property base version that the text was made from; [ConfigurationVersion.NONE] for the first publication
 * @property publicationId text that no other publication has; the same for each repeat of this one
 * @property publisher who publishes
 * @property comment why
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
 * Publishes configuration sets: the content goes to the object store under its hash, then a transaction moves the head
 * from the base version and adds the history row. A repeated transaction cannot apply twice, because the head's row has
 * moved; so a lost answer is settled by repeating.
 *
 * @property settleMilliseconds how long a lost answer is tried to be settled before the result is unknown
 */
public class ConfigurationPublisher(
    private val table: TableService,
    private val objects: ObjectStore,
    private val clock: Clock,
    private val settleMilliseconds: Long = DEFAULT_SETTLE_MILLISECONDS,
) {
    private val store = ConfigurationStore(table, objects)

    /** Checks and publishes [request]. */
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
        val until = clock.monotonicMilliseconds() + settleMilliseconds
        var mayHaveApplied = false
        while (true) {
            val error = when (val step = tryMoveHead(request, publication)) {
                is Either.Right -> return step.value
                is Either.Left -> step.value
            }
            mayHaveApplied = mayHaveApplied || error is PlatformError.Uncertain
            if (clock.monotonicMilliseconds() >= until) {
                return when {
                    mayHaveApplied -> PublicationResult.Unknown(request.publicationId, error)
                    else -> PublicationResult.NotPublished(error)
                }
            }
            delay(RETRY_MILLISECONDS)
        }
    }

    private suspend fun tryMoveHead(
        request: PublicationRequest,
        publication: Publication,
    ): Either<PlatformError, PublicationResult> {
        val read = store.head()
        val head = read.getOrElse { return Either.Left(it) }
        val number = head?.publication?.version?.number ?: 0
        if (number != request.base.number) return settled(request, publication, head)
        return table.transact(writes(head, publication)).map { result ->
            // After a rejection the head has moved, and the next round tells by whom.
            if (result == TransactionResult.Applied) PublicationResult.Accepted(publication) else null
        }.let { moved ->
            when (moved) {
                is Either.Left -> moved
                is Either.Right -> moved.value?.let { Either.Right(it) } ?: tryMoveHead(request, publication)
            }
        }
    }

    private fun writes(head: Head?, publication: Publication): List<ConditionalWrite> {
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

    /** The head is not at the base: either this publication has moved it before, or another one has. */
    private suspend fun settled(
        request: PublicationRequest,
        publication: Publication,
        head: Head?,
    ): Either<PlatformError, PublicationResult> = store.publication(publication.version.number).map { accepted ->
        when (accepted?.publicationId) {
            request.publicationId -> PublicationResult.Accepted(accepted)
            else -> conflict(request, head ?: Head(NOTHING, 0))
        }
    }

    private suspend fun conflict(request: PublicationRequest, head: Head): PublicationResult {
        val current = head.publication
        val differences = ConfigurationDifference.between(readSet(request.base), readSet(current.version))
        return PublicationResult.Conflict(current, differences)
    }

    private suspend fun readSet(version: ConfigurationVersion): ConfigurationSet = store.text(version).getOrNull()
        ?.let { ConfigurationReader.read(version.toString(), it).getOrNull() }
        ?: ConfigurationSet(emptyList(), emptyList(), emptyList(), emptyList())

    private companion object {
        const val DEFAULT_SETTLE_MILLISECONDS = 30_000L
        const val RETRY_MILLISECONDS = 250L
        val NOTHING = Publication(ConfigurationVersion.NONE, "", "", "", 0)
    }
}
