package org.guavahatch.coordination.publication

import kotlinx.serialization.Serializable
import org.guavahatch.coordination.store.PlatformError
import org.guavahatch.model.check.DocumentError
import org.guavahatch.model.configuration.ConfigurationVersion
import org.guavahatch.model.configuration.ObjectDifference

/**
 * An accepted publication, as stored in the head row and in the history rows.
 *
 * @property version accepted version
 * @property publicationId unique ID of the publication
 * @property publisher name of the publisher
 * @property comment reason for the publication
 * @property atMilliseconds time of publication by the wall clock of the publisher
 */
@Serializable
public data class Publication(
    public val version: ConfigurationVersion,
    public val publicationId: String,
    public val publisher: String,
    public val comment: String,
    public val atMilliseconds: Long,
)

/** Result of a publication request. */
public sealed interface PublicationResult {
    /** The configuration was accepted, and the head points to it. */
    public data class Accepted(val publication: Publication) : PublicationResult

    /**
     * Another publication has been accepted since the base version; nothing was changed.
     *
     * @property head current head
     * @property differences changes from the base version to the current head
     */
    public data class Conflict(val head: Publication, val differences: List<ObjectDifference>) : PublicationResult

    /** The configuration set is not valid; nothing was changed. */
    public data class Invalid(val error: DocumentError) : PublicationResult

    /** The calls to the platform failed; no configuration was published. */
    public data class NotPublished(val error: PlatformError) : PublicationResult

    /** The publication may have been accepted; repeating it with the same [publicationId] returns the result. */
    public data class Unknown(val publicationId: String, val error: PlatformError) : PublicationResult
}
