package org.heatherhaven.node.http;

/** A call whose head is not valid. The message describes the problem in one sentence, which the caller receives. */
public class BadCallException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message description of the problem
     */
    public BadCallException(String message) {
        super(message);
    }
}
