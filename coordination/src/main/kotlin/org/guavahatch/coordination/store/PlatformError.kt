package org.guavahatch.coordination.store

/**
 * A failed call to the platform.
 *
 * @property step operation that failed
 * @property peer URL that was called
 * @property detail description of the failure, as a sentence
 */
public sealed interface PlatformError {
    public val step: String
    public val peer: String
    public val detail: String

    /** The call failed and had no effect. */
    public data class Unavailable(override val step: String, override val peer: String, override val detail: String) :
        PlatformError

    /** The response was lost: the call may have taken effect, or may still take effect later. */
    public data class Uncertain(override val step: String, override val peer: String, override val detail: String) :
        PlatformError
}
