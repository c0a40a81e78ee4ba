/** A stand-in for the platform's object API, with the faults that the real one has. */
package org.heatherhaven.standin.platform;
