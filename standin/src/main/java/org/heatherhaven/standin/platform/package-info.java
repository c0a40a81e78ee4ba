/** A stand-in for the object API of the platform, which simulates outages, delays and lost responses. */
package org.heatherhaven.standin.platform;
