/**
 * @file
 * How far each target is trusted, judged by outcomes against its peers.
 */
#ifndef HS_POLICY_HEALTH_H
#define HS_POLICY_HEALTH_H

/** How far a target is trusted. */
typedef enum
{
  HS_HEALTH_OK,
  HS_HEALTH_PROBATION, /**< One task at a time. */
  HS_HEALTH_EJECTED    /**< None. */
} HsHealthState;

#endif
