package org.guavahatch.coordination.publication

import kotlinx.serialization.Serializable
import org.guavahatch.coordination.store.PlatformError
import org.guavahatch.model.check.DocumentError
import org.guavahatch.model.configuration.ConfigurationVersion
import org.guavahatch.model.configuration.ObjectDifference

/**
 * An accepted publication, as the head and the history keep it.
 *
 * @property version version that was accepted
 * @property publicationId text that no other publication has
 * @property publisher who published
 * @property comment why
 * @property atMilliseconds wall clock time of the publisher
 */
@Serializable
public data class Publication(
    public val version: ConfigurationVersion,
    public val publicationId: String,
    public val publisher: String,
    public val comment: String,
    public val atMilliseconds: Long,
)

/** What a publisher is told. */
public sealed interface PublicationResult {
    /** The configuration is accepted: the head has moved to it. */
    public data class Accepted(val publication: Publication) : PublicationResult

    /**
     * Somebody else has published since the base version; nothing was changed.
     *
     * @property head what is in force
     * @property differences from the base to what is in force
     */
    public data class Conflict(val head: Publication, val differences: List<ObjectDifference>) : PublicationResult

    /** The set is not valid; nothing was changed. */
    public data class Invalid(val error: DocumentError) : PublicationResult

    /** The platform could not be reached; nothing was changed. */
    public data class NotPublished(val error: PlatformError) : PublicationResult

    /** The write may have taken effect; asking again with the same [publicationId] settles it. */
    public data class Unknown(val publicationId: String, val error: PlatformError) : PublicationResult
}
